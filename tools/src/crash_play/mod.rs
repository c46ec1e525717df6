//! Requests that crash upstreams, among others that do not, played on the decisions in simulated time.
//!
//! Some routers take requests before model engines in four data centres, one of which dies each
//! 6.5 s. Some contents crash each engine that begins to run them; their callers repeat them at any
//! router, whatever they are told. Engines are back under their names. The rules are the programs' own
//! (`cloverpier_crashes`, `choice`, `crash_reports`); routers are modelled by what they know, and what they
//! tell each other travels with a delay, gets lost, or meets a router that is cut off or starts anew.
//! What is checked is counted here, from the engines' side. Owns the model.

mod pauses;
mod reports;
mod requests;
mod upstreams;
mod world;

pub use pauses::Pauses;

use std::time::Duration;

/// How ends are counted against contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// As the programs do: weighed by what else ended.
    Weighed,
    /// Each end in full.
    Plain,
}

/// How long a request waits that may have ended as many engines as stop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// As the programs do: until it is known whether they ended.
    UntilSettled,
    /// As long as one that may have ended two.
    Briefly,
    /// Until that is known, and then side by side with others that waited.
    SideBySide,
}

/// What befalls routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A fifth of them hear of no other and are heard by none, from the beginning to 12 s.
    CutOff,
    /// The routers that see the first two crashes of each content are killed at that moment, and
    /// start anew.
    KilledAtCrash,
    /// All are replaced, one after the other within eight seconds.
    RolledOut,
    /// All start anew within a second, so that none is left that knows anything.
    AllStartAnew,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct CrashSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Engines, in four data centres.
    pub engines: usize,
    /// Contents that crash engines; all come for the first time within the first two seconds.
    pub contents: usize,
    /// The mean time between two repeats of one of them.
    pub repeat_each: Duration,
    /// Whether repeats find their prompt read already, so that they crash their engine within 15 ms.
    pub are_cached: bool,
    /// Requests that crash nothing, a second.
    pub others: f64,
    /// How many of them come at once with the same content.
    pub copies: usize,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// Whether a data centre dies each 6.5 s.
    pub deaths: bool,
    /// What befalls routers.
    pub trouble: Trouble,
    /// How ends are counted.
    pub counting: Counting,
    /// What pauses.
    pub pauses: Pauses,
    /// How long requests wait for judgements.
    pub waiting: Waiting,
}

impl CrashSpec {
    /// The load of the users' sheets at a size: a stream of five seconds for each engine and second, and
    /// two contents that crash engines, repeated each second.
    pub fn new(seed: u64, routers: usize, engines: usize) -> Self {
        Self {
            seed,
            routers,
            engines,
            contents: 2,
            repeat_each: Duration::from_secs(1),
            are_cached: false,
            others: engines as f64 * 0.25,
            copies: 1,
            loss: 0.03,
            deaths: true,
            trouble: Trouble::None,
            counting: Counting::Weighed,
            pauses: Pauses::None,
            waiting: Waiting::UntilSettled,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct CrashOutcome {
    /// For each crashing content, the engines that ended under it.
    pub ends: Vec<usize>,
    /// For each crashing content, how often a router in touch sent it to an engine later than
    /// [`CONTACT`] after it had ended the third.
    pub late: Vec<usize>,
    /// Other requests.
    pub others: usize,
    /// Those of them that were stopped.
    pub stopped: usize,
    /// Those that lost two engines or more to ends.
    pub unlucky: usize,
    /// How long they waited for judgements, of each that did.
    pub waited: Vec<Duration>,
    /// Bytes of reports that the router which sent the most did.
    pub most_bytes: usize,
    /// Bytes of reports that all routers sent.
    pub bytes: usize,
}

/// Within this time of the third end all routers know of it: the users' bound.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Plays 25 seconds.
pub fn play(spec: CrashSpec) -> CrashOutcome {
    world::World::new(spec).play()
}
