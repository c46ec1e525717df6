//! Asking engines which of them has read a prompt.
//!
//! - **Question.** A caller continues a stream whose engine no router knows, as after the
//!   death of all routers: which engines are asked for the prompt, in which order, and how
//!   long does the request wait for that?
//! - **Inputs.** The usable engines; the prompt's hash; the time that the request has left;
//!   which engines were asked recently.
//! - **Answer.** An order; a timeout; whether an engine may be asked.
//! - **Why.** Reading a prompt again costs an engine about a second and was the largest
//!   price on days with trouble (without the search 0.045 +- 0.005 of the worth is
//!   lost, 30 pairs of plays that end with the loss of all routers). But asking
//!   every engine from every router costs connections, so the likely ones are asked first
//!   (connections on a day of 72 routers
//!   10,979 -> 7,298).

use crate::prompt_locations::PromptKey;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use cloverpier_core::{DataCentre, ServiceName, rank};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Upper bound on the time a request waits for a search.  Chosen, not measured.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// And this part of the time that it has left: a request with little time is better sent
/// anywhere than held.  Chosen, not measured.
const MAX_WAIT_SHARE: f64 = 0.1;
/// An engine is asked again only after this time; its answer covers all prompts that it has
/// read.  Chosen, not measured.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Engines asked at the same time by one router.  Chosen, not measured.
const MAX_CONCURRENT: usize = 8;
/// How long one engine's answer is awaited.  Chosen, not measured.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request waits for a search.
pub fn search_timeout(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT)
}

/// The engines of a service in the order in which they are likely to have read a prompt.
///
/// Each router prefers engines of its own data centre and among these follows the prompt's
/// hash ([`crate::choice`]), so the engines of each data centre are taken in turn, by hash.
pub fn search_order(
    table: &UpstreamTable,
    service: &ServiceName,
    prompt: PromptKey,
) -> Vec<Upstream> {
    let usable = table.of_service(service).filter(|s| s.is_usable());
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&UpstreamState>> = BTreeMap::new();
    for state in usable {
        let engines = by_data_centre.entry(&state.upstream.data_centre);
        engines.or_default().push(state);
    }
    let mut ranked: Vec<(usize, &Upstream)> = Vec::new();
    for engines in by_data_centre.values() {
        let in_order = rank(prompt.0, engines, |s| s.upstream.name.as_str());
        let in_order = in_order.into_iter().enumerate();
        ranked.extend(in_order.map(|(position, s)| (position, &s.upstream)));
    }
    ranked.sort_by_key(|(position, _)| *position);
    let engines = ranked.into_iter().map(|(_, upstream)| upstream.clone());
    engines.collect()
}

/// The questions of one router: whom it asked when, and how many are open.
#[derive(Clone, Debug, Default)]
pub struct SearchState {
    asked: HashMap<UpstreamKey, Instant>,
    open: usize,
}

impl SearchState {
    /// Begins a question unless the engine was asked recently; returns whether it is asked.
    pub fn begin(&mut self, engine: UpstreamKey, now: Instant) -> bool {
        self.asked
            .retain(|_, at| now.saturating_duration_since(*at) < ASK_AGAIN_AFTER);
        let is_new = !self.asked.contains_key(&engine);
        if is_new {
            self.asked.insert(engine, now);
            self.open += 1;
        }
        is_new
    }

    /// Ends a question, answered or not.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Number of questions without an answer yet.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether another question may begin.
    pub fn has_capacity(&self) -> bool {
        self.open < MAX_CONCURRENT
    }

    /// Number of engines that were asked recently.
    pub fn asked_recently(&self) -> usize {
        self.asked.len()
    }
}
