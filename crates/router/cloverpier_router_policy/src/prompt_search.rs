//! Prompt search: engines are queried for the prompts that they have read.
//!
//! - **Question.** A caller continues a stream whose engine no router has recorded, for example after a crash of
//!   all routers. Which engines are queried for the prompt, in which order, and how long does the request wait?
//! - **Inputs.** The usable engines; the prompt's hash; the time that the request has left; the engines that were
//!   queried recently.
//! - **Result.** An order of engines; timeouts; whether an engine may be queried now.
//! - **Why.** Reading a prompt again takes an engine about a second. But if every router queried every engine, that
//!   would open many connections, so the engines that are likely to have the prompt are queried first.
//!
//! [`SearchState`] owns the queries of one router. Relies on routers choosing engines by the prompt's hash
//! ([`crate::choice`]).

use crate::load_query::QUERIED_ENGINES;
use crate::prompt_locations::PromptKey;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use cloverpier_core::{ServiceName, rendezvous_rank};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Upper bound on the time that a request waits for a search.
const MAX_SEARCH_WAIT: Duration = Duration::from_millis(250);
/// Upper bound on the wait as a fraction of the time that the request has left: a request with little time left
/// is sent to any engine rather than held.
const MAX_SEARCH_WAIT_FRACTION: f64 = 0.1;
/// Minimum time between two queries to the same engine; a response lists all prompts that the engine has read.
const REQUERY_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of open queries of one router.
const MAX_CONCURRENT_QUERIES: usize = 8;
/// Number of engines that a search queries first: as many as receive a load query before a stream is placed
/// ([`crate::load_query`]), since most often one of these engines has the prompt.
pub const FIRST_QUERIED: usize = QUERIED_ENGINES;
/// Time to wait for the responses of the first engines before further engines are queried: about twice the time of
/// a response on a new connection.
pub const FIRST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(15);
/// Timeout of the query to one engine.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time that a request waits for a search, given the time that it has left until its deadline.
pub fn search_timeout(time_left: Duration) -> Duration {
    time_left
        .mul_f64(MAX_SEARCH_WAIT_FRACTION)
        .min(MAX_SEARCH_WAIT)
}

/// The usable engines of a service, ordered by decreasing likelihood that they have read a prompt.
///
/// The order is that of the prompt's hash, by which routers choose among engines of about equal cost
/// ([`crate::choice`]).
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

/// The search queries of one router: when each engine was queried, and how many queries are open.
#[derive(Clone, Debug, Default)]
pub struct SearchState {
    queried_at: HashMap<UpstreamKey, Instant>,
    open_queries: usize,
}

impl SearchState {
    /// Begins a query unless the engine was queried within the last 10 s; returns whether the query is to be sent.
    pub fn begin(&mut self, engine: UpstreamKey, now: Instant) -> bool {
        self.queried_at
            .retain(|_, at| now.saturating_duration_since(*at) < REQUERY_INTERVAL);
        let is_new = !self.queried_at.contains_key(&engine);
        if is_new {
            self.queried_at.insert(engine, now);
            self.open_queries += 1;
        }
        is_new
    }

    /// Ends a query, after a response or a timeout.
    pub fn end(&mut self) {
        self.open_queries = self.open_queries.saturating_sub(1);
    }

    /// Number of queries that have neither a response nor timed out.
    pub fn open_queries(&self) -> usize {
        self.open_queries
    }

    /// Whether the number of open queries allows another query.
    pub fn has_capacity(&self) -> bool {
        self.open_queries < MAX_CONCURRENT_QUERIES
    }

    /// Number of engines that were queried in the 10 s before the latest call of [`Self::begin`], for logs.
    pub fn recently_queried(&self) -> usize {
        self.queried_at.len()
    }
}
