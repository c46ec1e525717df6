//! What the upstreams of a test ran, and the faults that they are given.
//!
//! The ledger is the checks' own record: no check has to take a router's word for what ran.

use cloverpier_core::UpstreamName;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It refuses, and says that it did not run the request.
    Refuse,
    /// It runs the request and its answer is lost with the connection.
    LoseAnswer,
    /// The same, with a reset; it lives on.
    ResetAnswer,
    /// It runs the request and breaks its answer off in the middle.
    BreakOff,
    /// It answers with another request's id.
    WrongId,
    /// It answers with a success that isn't signed.
    Unsigned,
    /// It answers, and a second answer follows.
    Surplus,
    /// It runs the request and never answers.
    Mute,
    /// It answers with a failure of its own.
    Fail,
    /// Its answer has no length and ends with the connection, in the middle.
    ResetUnframed,
    /// The head of its answer never ends.
    EndlessHead,
    /// The body of its answer never ends; of a stream, in one event.
    EndlessBody,
    /// The same, of a failure of its own.
    EndlessFailure,
    /// Its stream never ends, in whole events.
    EndlessEvents,
    /// Its answer stops after so many bytes, and the connection ends.
    StopAfter(usize),
    /// The head of a success without a length, and the end of the connection.
    EndAfterHead,
}

/// What the upstreams of a test did, in one place.
#[derive(Debug, Default)]
pub struct Ledger {
    /// How often each request ran, by its id.
    pub runs: HashMap<String, u32>,
    /// Requests that an upstream saw without the header that names it.
    pub unexpected: u32,
    /// Keys of callers that reached an upstream.
    pub leaked_keys: u32,
    /// Client accounts that upstreams were told, by request.
    pub accounts: HashMap<String, String>,
    /// Copies of runs' memory: where each lies.
    pub(crate) copies: HashSet<(SocketAddr, String)>,
    /// Streams that an upstream stopped as their connection was closed, by request.
    pub stopped: HashSet<String>,
    /// Streams that an upstream broke off by itself, as it crashed or by a fault.
    pub cut_streams: HashSet<String>,
    /// Requests that an engine refused for lack of room when they were sent last.
    pub refused_last: HashSet<String>,
    /// Requests that an upstream took and never answered, or not to the end, as it is mute.
    pub unanswered: HashSet<String>,
    /// Upstreams that treated a request wrongly, by a fault that they were given.
    pub faults_met: HashMap<String, HashSet<UpstreamName>>,
    /// Upstreams that each request reached, in order.
    pub reached: HashMap<String, Vec<UpstreamName>>,
    /// The headers that each request had when it ran last, by name.
    pub heads: HashMap<String, BTreeMap<String, String>>,
    /// All that has reached upstreams, in order.
    pub arrivals: Vec<Arrival>,
    /// What upstreams said of themselves, in order.
    pub statements: Vec<Statement>,
    /// Refusals of brittle upstreams for lack of room, in order.
    pub room_refusals: Vec<RoomRefusal>,
    /// Each time that a request which crashes upstreams reached one, refused ones among them.
    pub crashing_arrivals: Vec<CrashingArrival>,
    /// When each upstream crashed of a request that it began to run.
    pub crashes: Vec<Instant>,
}

/// Something has reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The request's id; `None` for a question.
    pub id: Option<String>,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether this start of it says that it leaves.
    pub leaves: bool,
}

/// What an upstream says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// That it leaves.
    Leaving,
    /// That it wants nothing for so long.
    Wait(Duration),
    /// How many requests a second it takes.
    Limit(f64),
}

/// An upstream has said something of itself in an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// When.
    pub at: Instant,
    /// The request's id; `None` for a question.
    pub id: Option<String>,
    /// The upstream.
    pub upstream: UpstreamName,
    /// What it said.
    pub said: Said,
}

/// A request that crashes upstreams has reached one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingArrival {
    /// When.
    pub at: Instant,
    /// The request's id.
    pub id: String,
    /// The upstream.
    pub upstream: UpstreamName,
}

/// A brittle upstream has refused a request for lack of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomRefusal {
    /// The time of the refusal.
    pub at: Instant,
    /// The name of the upstream that refused.
    pub upstream: UpstreamName,
}

impl Ledger {
    /// The most refusals for lack of room of one upstream within a span that begins at or after `from`.
    pub fn max_room_refusals(&self, from: Instant, span: Duration) -> usize {
        let counted = self.room_refusals.iter().filter(|r| r.at >= from);
        let within = |first: &RoomRefusal| {
            let same = self
                .room_refusals
                .iter()
                .filter(|r| r.upstream == first.upstream);
            let same = same.filter(|r| r.at >= first.at && r.at < first.at + span);
            same.count()
        };
        counted.map(within).max().unwrap_or(0)
    }

    /// When an upstream first said that it leaves, in the answer to a request.
    pub fn said_leaving(&self, upstream: &UpstreamName) -> Option<Instant> {
        let of_requests = self.statements.iter().filter(|s| s.id.is_some());
        let mut leaving =
            of_requests.filter(|s| s.upstream == *upstream && s.said == Said::Leaving);
        leaving.next().map(|s| s.at)
    }

    /// When an upstream first named a limit.
    pub fn named_limit(&self, upstream: &UpstreamName) -> Option<Instant> {
        let mut limits = self.statements.iter().filter(|s| s.upstream == *upstream);
        let first = limits.find(|s| matches!(s.said, Said::Limit(_)));
        first.map(|s| s.at)
    }

    /// What reached an upstream in a span of time.
    pub fn arrived_between(
        &self,
        upstream: &UpstreamName,
        from: Instant,
        until: Instant,
    ) -> Vec<Arrival> {
        let at = |a: &&Arrival| a.upstream == *upstream && (from..until).contains(&a.at);
        self.arrivals.iter().filter(at).cloned().collect()
    }

    /// When the third upstream crashed of a request.
    pub fn third_crash(&self) -> Option<Instant> {
        self.crashes.get(2).copied()
    }
}

/// A ledger that upstreams share.
pub type SharedLedger = Arc<Mutex<Ledger>>;
