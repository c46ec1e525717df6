//! The state of one simulated response, and the random choice of the next event.

mod callers;
mod owners;

use cloverpier_answer::prelude::*;
use cloverpier_core::{MemberId, RequestKey, TokenDigest};
use fastrand::Rng;
use std::sync::Arc;
use std::time::Instant;

const ROUTERS: usize = 4;
const RESPONSE_TOKENS: u64 = 12;

fn token_text(engine: u64, before: TokenDigest) -> Arc<str> {
    Arc::from(format!("{engine}:{before};"))
}

fn is_consistent(tokens: &[Arc<str>]) -> bool {
    let mut digest = TokenDigest::EMPTY;
    for token in tokens {
        let named_digest = token.split([':', ';']).nth(1);
        if named_digest != Some(digest.to_string().as_str()) {
            return false;
        }
        digest = digest.push(token);
    }
    true
}

/// An attempt at an engine, which continues to send tokens even if its owner has replaced it.
struct Generation {
    attempt: AttemptId,
    opened_by: usize,
    engine: u64,
    digest: TokenDigest,
    offset: u64,
}

/// A message of an engine that an owner has not processed yet.
#[derive(Clone)]
enum Event {
    Token(AttemptId, u64, Arc<str>),
    Finish(AttemptId, u64),
}

struct Owner {
    response: OwnedResponse,
    copy: CopyProgress,
    in_flight: Option<TokenBatch>,
    inbox: Vec<Event>,
}

/// The tokens that the caller has received, and the owner that serves the caller.
pub struct Client {
    tokens: Vec<Arc<str>>,
    owner: Option<usize>,
    holder: Option<MemberId>,
    pub done: bool,
}

/// The routers, the engines and the caller of one response.
pub struct Simulation {
    rng: Rng,
    now: Instant,
    key: RequestKey,
    names: Vec<MemberId>,
    restarts: Vec<u32>,
    owners: Vec<Option<Owner>>,
    copies: Vec<ResponseCopies>,
    generations: Vec<Generation>,
    /// Batches that timed out at their owner but still arrive later.
    delayed: Vec<(usize, MemberId, TokenBatch)>,
    pub client: Client,
    last_opener: u64,
    pub finished: u64,
    /// If set, no copy is lost, so a caller must always be able to resume.
    copies_survive: bool,
}

impl Simulation {
    pub fn new(seed: u64, copies_survive: bool) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            key: RequestKey::new("lab/1"),
            names: (0..ROUTERS)
                .map(|i| MemberId::new(format!("r{i}")))
                .collect(),
            restarts: vec![0; ROUTERS],
            owners: (0..ROUTERS).map(|_| None).collect(),
            copies: (0..ROUTERS).map(|_| ResponseCopies::default()).collect(),
            generations: Vec::new(),
            delayed: Vec::new(),
            client: Client {
                tokens: Vec::new(),
                owner: None,
                holder: None,
                done: false,
            },
            last_opener: 0,
            finished: 0,
            copies_survive,
        }
    }

    fn router(&mut self) -> usize {
        self.rng.usize(0..ROUTERS)
    }

    /// The identifier of a router's current process. A crashed router returns as a new process.
    fn member_id(&self, i: usize) -> MemberId {
        MemberId::new(format!("{}~{}", self.names[i], self.restarts[i]))
    }

    pub fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..25 => self.engine_generates(),
            25..60 => self.owner_receives(),
            60..80 => self.owner_sends_copy(),
            80..92 => self.client_reads(),
            92 => self.client_reconnects(),
            93..95 => self.attempt_fails(),
            95 => self.delayed_batch_arrives(),
            96 => self.owner_crashes(),
            97 => self.batch_times_out(),
            98 => self.holder_crashes(),
            _ => {}
        }
        self.check();
    }

    fn check(&self) {
        assert!(
            is_consistent(&self.client.tokens),
            "{:?}",
            self.client.tokens
        );
        assert!(self.client.tokens.len() as u64 <= RESPONSE_TOKENS);
        for owner in self.owners.iter().flatten() {
            assert!(is_consistent(owner.response.tokens_from(0)));
            assert!(owner.response.released() <= owner.response.len());
        }
    }
}
