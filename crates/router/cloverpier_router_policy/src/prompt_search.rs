//! Asking engines which of them has read a prompt.
//!
//! - **Question.** A caller continues a stream whose engine no router knows, as after the
//!   death of all routers: which engines are asked for the prompt, in which order, and how
//!   long does the request wait for that?
//! - **Inputs.** The usable engines; the prompt's hash; the time that the request has left;
//!   which engines were asked recently.
//! - **Answer.** An order; a timeout; whether an engine may be asked.
//! - **Why.** Reading a prompt again costs an engine about a second. But asking every
//!   engine from every router costs connections, so the likely ones are asked first.

use crate::load_query::QUERIED_ENGINES;
use crate::prompt_locations::PromptKey;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use cloverpier_core::{ServiceName, rendezvous_rank};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Upper bound on the time a request waits for a search.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// And this part of the time that it has left: a request with little time is better sent anywhere
/// than held.
const MAX_WAIT_SHARE: f64 = 0.1;
/// An engine is asked again only after this time; its answer covers all prompts that it has read.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Engines asked at the same time by one router.
const MAX_CONCURRENT: usize = 8;
/// Engines that a search asks first: as many as are asked before a stream is placed
/// ([`crate::load_query`]), since one of these most often has the prompt.
pub const ASKED_FIRST: usize = QUERIED_ENGINES;
/// How long their answers are awaited before others are asked: about two answers with a new
/// connection.
pub const FIRST_ANSWERS_WAIT: Duration = Duration::from_millis(15);
/// How long one engine's answer is awaited.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request waits for a search.
pub fn search_timeout(time_left: Duration) -> Duration {
    time_left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT)
}

/// The engines of a service in the order in which they are likely to have read a prompt.
///
/// Routers follow the prompt's hash among engines that seem equal ([`crate::choice`]).
pub fn search_order(
    table: &UpstreamTable,
    service: &ServiceName,
    prompt: PromptKey,
    now: Instant,
) -> Vec<Upstream> {
    let usable = table.of_service(service).filter(|s| s.is_usable(now));
    let usable: Vec<&UpstreamState> = usable.collect();
    let ranked = rendezvous_rank(prompt.0, &usable, |s| s.upstream.name.as_str());
    ranked.into_iter().map(|s| s.upstream.clone()).collect()
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
