//! Streams while engines of several software versions serve, played on the decisions in simulated time.
//!
//! Releases replace engines by those of other versions, engines crash by data centre and come back (some under their name
//! with another version), routers are killed, stopped, cut off and suspended, the store is away, datagrams are lost.
//! Callers whose router dies resume their streams at another one. Each router has a list of upstreams, a history of
//! versions and records of its own, and decides by the policy crate; messages between routers are counted in the bytes of
//! their encoding. Owns the model.
//!
//! | concern | module |
//! | --- | --- |
//! | time, events, the outcome | [`world`] |
//! | engines and what the store lists of them | [`engines`] |
//! | routers: processes, peers, deaths | [`routers`] |
//! | lists of engines, and their confirmation | [`lists`] |
//! | streams from their first request to their end | [`streams`] |
//! | first events of attempts | [`first_events`] |
//! | attempts at engines | [`attempts`] |
//! | datagrams between routers | [`messages`] |
//! | records of streams, sent and acknowledged | [`records`] |
//! | lookups of the version that began a stream | [`lookups`] |
//! | what goes wrong, and when | [`faults`] |

mod attempts;
mod engines;
mod faults;
mod first_events;
mod lists;
mod lookups;
mod messages;
mod records;
mod routers;
mod streams;
mod world;

use std::time::Duration;

pub use world::play;

/// Which routers get the record of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordTo {
    /// The holders that the policy chooses.
    Holders,
    /// All other routers.
    All,
    /// None: streams go on only while the list proves that there is one version.
    Nobody,
}

/// What goes wrong in a play beside releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Nothing, and no release: all engines have one version.
    Calm,
    /// Data centres of engines crash, and groups of routers are killed.
    Deaths,
    /// The same, while the store is away for some seconds and routers are cut off from it and from each other.
    Partitions,
    /// All routers are killed at the same moment, several times.
    KillAll,
    /// Routers are stopped one after the other and start again.
    StopInTurn,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct VersionSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers, in four data centres.
    pub routers: usize,
    /// Engines at the start.
    pub engines: usize,
    /// Streams that begin in a second.
    pub per_second: f64,
    /// What goes wrong.
    pub harm: Harm,
    /// Who gets the records.
    pub record_to: RecordTo,
    /// Whether the head of an engine's response states when its process started.
    pub heads_state_start: bool,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// How long streams begin.
    pub time: Duration,
}

impl VersionSpec {
    /// Sizes of fleets: routers, engines, streams that begin in a second. The large fleets have fewer engines and
    /// streams than in use, as what a router sends of a stream does not depend on them.
    pub const SIZES: [(usize, usize, f64); 4] = [
        (8, 24, 6.2),
        (60, 60, 30.0),
        (295, 60, 30.0),
        (986, 60, 30.0),
    ];

    /// A fleet under some harm, for half a minute.
    pub fn new((routers, engines, per_second): (usize, usize, f64), harm: Harm) -> Self {
        Self {
            seed: 1,
            routers,
            engines,
            per_second,
            harm,
            record_to: RecordTo::Holders,
            heads_state_start: true,
            loss: 0.01,
            time: Duration::from_secs(30),
        }
    }
}

/// Streams that callers resume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// All of them, each time that a router or an engine failed them.
    pub asked: usize,
    /// Those that went on, at the first request or a repeated one.
    pub went_on: usize,
}

impl Share {
    /// The part that went on; 1 if there are none.
    pub fn fraction(self) -> f64 {
        match self.asked {
            0 => 1.0,
            asked => self.went_on as f64 / asked as f64,
        }
    }

    /// Both taken together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            went_on: self.went_on + other.went_on,
        }
    }
}

/// What came of the streams, and what it cost.
#[derive(Clone, Debug, Default)]
pub struct VersionOutcome {
    /// Streams that callers asked for.
    pub new: usize,
    /// Those of them that got a first event.
    pub began: usize,
    /// Streams that callers resume.
    pub resumed: Share,
    /// Those while several versions serve, at routers that have been in touch with the store and the others for some
    /// seconds.
    pub returned_in_touch: Share,
    /// Those of them that also began at a router in touch, while several versions served.
    pub always_in_touch: Share,
    /// Streams that got events of two versions.
    pub mixed: usize,
    /// Streams that broke off within one response, as no engine of their version was left.
    pub stranded: usize,
    /// From a caller's request that resumes a stream to the next event.
    pub resume_times: Vec<Duration>,
    /// By how much the first event of a stream was delayed for its record.
    pub record_times: Vec<Duration>,
    /// Datagrams about versions that routers sent.
    pub datagrams: usize,
    /// Their bytes.
    pub bytes: usize,
    /// Calls to the store that callers' returns caused.
    pub store_calls: usize,
}

impl VersionOutcome {
    /// The share of new streams that began.
    pub fn began_share(&self) -> f64 {
        self.began as f64 / self.new.max(1) as f64
    }

    /// The time below which a part of the resumed streams got their next event.
    pub fn resume_time(&self, part: f64) -> Duration {
        quantile(&self.resume_times, part)
    }

    /// The time below which a part of the first events were delayed.
    pub fn record_time(&self, part: f64) -> Duration {
        quantile(&self.record_times, part)
    }
}

fn quantile(times: &[Duration], part: f64) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * part) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or_default()
}
