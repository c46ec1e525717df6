//! One answer and all that may happen around it, step by step, by a seed.

mod callers;
mod owners;

use cloverpier_answer::prelude::*;
use cloverpier_core::{MemberId, RequestKey, TokenDigest};
use fastrand::Rng;
use std::sync::Arc;
use std::time::Instant;

const ROUTERS: usize = 4;
const LENGTH: u64 = 12;

fn say(engine: u64, before: TokenDigest) -> Arc<str> {
    Arc::from(format!("{engine}:{before};"))
}

fn spoken_in_order(tokens: &[Arc<str>]) -> bool {
    let mut chain = TokenDigest::EMPTY;
    for token in tokens {
        let after = token.split([':', ';']).nth(1);
        if after != Some(chain.to_string().as_str()) {
            return false;
        }
        chain = chain.push(token);
    }
    true
}

/// An engine's run, which goes on whether or not anybody listens.
struct Generation {
    attempt: AttemptId,
    asked_by: usize,
    engine: u64,
    chain: TokenDigest,
    offset: u64,
}

/// What an owner was sent and has not taken in yet.
#[derive(Clone)]
enum Event {
    Token(AttemptId, u64, Arc<str>),
    Finish(AttemptId, u64),
}

struct Owner {
    answer: Answer,
    copy: Shipping,
    under_way: Option<Entry>,
    inbox: Vec<Event>,
}

/// What the caller has.
pub struct Client {
    tokens: Vec<Arc<str>>,
    at: Option<usize>,
    holder: Option<MemberId>,
    pub done: bool,
}

/// The routers, engines and the caller of one answer.
pub struct World {
    rng: Rng,
    now: Instant,
    key: RequestKey,
    names: Vec<MemberId>,
    deaths: Vec<u32>,
    owners: Vec<Option<Owner>>,
    copies: Vec<Copies>,
    generations: Vec<Generation>,
    /// Batches that were given up as lost but arrive all the same.
    late: Vec<(usize, MemberId, Entry)>,
    pub client: Client,
    openers: u64,
    pub finished: u64,
    /// Whether copies outlive everything, so that no caller may be left behind.
    copies_last: bool,
}

impl World {
    pub fn new(seed: u64, copies_last: bool) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            key: RequestKey::new("lab/1"),
            names: (0..ROUTERS)
                .map(|i| MemberId::new(format!("r{i}")))
                .collect(),
            deaths: vec![0; ROUTERS],
            owners: (0..ROUTERS).map(|_| None).collect(),
            copies: (0..ROUTERS).map(|_| Copies::default()).collect(),
            generations: Vec::new(),
            late: Vec::new(),
            client: Client {
                tokens: Vec::new(),
                at: None,
                holder: None,
                done: false,
            },
            openers: 0,
            finished: 0,
            copies_last,
        }
    }

    fn router(&mut self) -> usize {
        self.rng.usize(0..ROUTERS)
    }

    /// A router that died comes back as another run.
    fn run_of(&self, i: usize) -> MemberId {
        MemberId::new(format!("{}~{}", self.names[i], self.deaths[i]))
    }

    pub fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..25 => self.engine_speaks(),
            25..60 => self.owner_listens(),
            60..80 => self.owner_ships(),
            80..92 => self.client_reads(),
            92 => self.client_reconnects(),
            93..95 => self.attempt_fails(),
            95 => self.late_batch_arrives(),
            96 => self.owner_dies(),
            97 => self.batch_is_given_up(),
            98 => self.holder_dies(),
            _ => {}
        }
        self.check();
    }

    fn check(&self) {
        assert!(
            spoken_in_order(&self.client.tokens),
            "{:?}",
            self.client.tokens
        );
        assert!(self.client.tokens.len() as u64 <= LENGTH);
        for owner in self.owners.iter().flatten() {
            assert!(spoken_in_order(owner.answer.tokens_from(0)));
            assert!(owner.answer.released() <= owner.answer.len());
        }
    }
}
