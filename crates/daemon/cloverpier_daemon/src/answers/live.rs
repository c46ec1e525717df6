//! One answer that this router owns.
//!
//! Owns the answer's state behind one lock and the channel that wakes its readers. Invariant: a
//! reader gets released tokens only, in order, each once.

use crate::error::ApiError;
use cloverpier_answer::{
    AppendReply, CopyProgress, CopyStep, EventId, Finish, OwnedResponse, TokenSource,
};
use cloverpier_core::{AccountName, AdapterName, ModelName, RequestKey, ServiceName, lock};
use cloverpier_crashes::{ContentKey, RequestContent};
use cloverpier_timers::Timers;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// What a caller asked for.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The account.
    pub account: AccountName,
    /// The service.
    pub service: ServiceName,
    /// The model that its engines load.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// The priority.
    pub priority: u8,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// Copies before a token is released.
    pub copies: u8,
    /// Silence of an engine that ends an attempt.
    pub silence: Duration,
    /// Whether a steady stream is given up sooner.
    pub adaptive_silence: bool,
    /// How long the generation runs on without a reader.
    pub linger: Duration,
    /// Whether it may be run again after a failure.
    pub repeatable: bool,
}

impl Spec {
    /// What repeats of the request have in common.
    pub fn content(&self) -> RequestContent<'_> {
        RequestContent {
            account: self.account.as_str(),
            host: self.service.as_str(),
            method: "generate",
            // Without one, the model alone runs it.
            target: self.adapter.as_ref().map_or("", AdapterName::as_str),
            body: self.prompt.as_bytes(),
        }
    }

    /// The key of that.
    pub fn content_key(&self) -> ContentKey {
        ContentKey::of(&self.content())
    }
}

/// How an answer ended other than by its last token.
#[derive(Clone, Debug)]
pub enum End {
    /// Another router has it.
    TakenOver,
    /// It can't go on.
    Failed(ApiError),
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) answer: OwnedResponse,
    pub(super) copy: CopyProgress,
    /// Whether the answer is in its holder's queue.
    pub(super) queued: bool,
    pub(super) source: Option<TokenSource>,
    end: Option<End>,
    idle_since: Instant,
    over_since: Option<Instant>,
}

/// An answer that this router owns.
#[derive(Debug)]
pub struct Live {
    /// The request.
    pub key: RequestKey,
    /// Digest of the request's body.
    pub body: u64,
    /// What the caller asked for.
    pub spec: Spec,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    readers: AtomicUsize,
    /// Whether a task generates it.
    pub(super) running: AtomicBool,
}

/// What a reader sends next.
#[derive(Debug)]
pub enum Reading {
    /// These tokens, the first at the given offset.
    Tokens {
        /// Offset of the first token.
        offset: u64,
        /// The tokens, each with the identifier of its event.
        tokens: Vec<(Arc<str>, EventId)>,
    },
    /// The end of the answer.
    Finish(Finish),
    /// It ended another way.
    End(End),
    /// Nothing yet.
    Wait,
}

impl Live {
    /// An answer at its start, or as another router left it.
    pub fn new(
        key: RequestKey,
        body: u64,
        spec: Spec,
        answer: OwnedResponse,
        now: Instant,
    ) -> Arc<Self> {
        Arc::new(Self {
            key,
            body,
            spec,
            state: Mutex::new(State {
                answer,
                copy: CopyProgress::default(),
                queued: false,
                source: None,
                end: None,
                idle_since: now,
                over_since: None,
            }),
            changed: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
            running: AtomicBool::new(false),
        })
    }

    /// Changes the answer and wakes its readers.
    pub(super) fn change<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let result = f(&mut lock(&self.state));
        self.changed.send_modify(|n| *n += 1);
        result
    }

    /// Looks at the answer.
    pub(super) fn look<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&lock(&self.state))
    }

    /// Ends the answer other than by its last token.
    pub fn end(&self, end: End, now: Instant) {
        self.change(|s| {
            if matches!(end, End::TakenOver) {
                s.answer.on_taken_over();
            }
            s.end.get_or_insert(end);
            s.over_since.get_or_insert(now);
        });
    }

    /// Takes a holder's reply; says whether something more must be sent.
    pub(super) fn on_append(&self, reply: AppendReply, now: Instant) -> bool {
        let step = self.change(|s| {
            let step = s.copy.on_reply(&mut s.answer, reply);
            if s.answer.released_finish().is_some() {
                s.over_since.get_or_insert(now);
            }
            step
        });
        match step {
            CopyStep::Idle => false,
            CopyStep::Send => true,
            CopyStep::TakenOver => {
                self.end(End::TakenOver, now);
                false
            }
        }
    }

    /// Notes that nothing more will happen to it.
    pub(super) fn mark_over(&self, now: Instant) {
        self.change(|s| s.over_since.get_or_insert(now).to_owned());
    }

    /// Whether it ended, one way or the other.
    pub fn is_ended(&self) -> bool {
        self.look(|s| s.end.is_some() || s.answer.released_finish().is_some())
    }

    /// Whether another router has it, or it failed.
    pub fn is_useless(&self) -> bool {
        self.look(|s| s.end.is_some())
    }

    /// Whether somebody reads it or it is still being generated.
    pub fn is_busy(&self) -> bool {
        self.readers.load(Ordering::Relaxed) > 0 || self.running.load(Ordering::Relaxed)
    }

    /// Whether nobody has read it for longer than the service lets it run on.
    pub fn is_abandoned(&self, now: Instant) -> bool {
        let unread = self.readers.load(Ordering::Relaxed) == 0;
        unread && self.look(|s| now.saturating_duration_since(s.idle_since) >= self.spec.linger)
    }

    /// Whether it can be forgotten.
    pub fn is_over(&self, now: Instant, keep: Duration) -> bool {
        let over = self.look(|s| s.over_since);
        let stale = over.is_some_and(|at| now.saturating_duration_since(at) >= keep);
        !self.is_busy() && stale
    }

    /// Begins to read from an offset.
    pub fn read(self: &Arc<Self>, offset: u64, timers: Timers) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        self.change(|s| s.idle_since = timers.now());
        Reader {
            changed: self.changed.subscribe(),
            live: Arc::clone(self),
            offset,
            timers,
        }
    }
}

/// One connection that reads an answer.
#[derive(Debug)]
pub struct Reader {
    live: Arc<Live>,
    changed: watch::Receiver<u64>,
    offset: u64,
    /// Says when it ended, which the answer's idle time runs from.
    timers: Timers,
}

impl Reader {
    /// The answer.
    pub fn live(&self) -> &Arc<Live> {
        &self.live
    }

    /// What to send next, waiting for it.
    pub async fn next(&mut self) -> Reading {
        loop {
            self.changed.mark_unchanged();
            match self.ready() {
                Reading::Wait => {}
                ready => return ready,
            }
            // The sender lives as long as the answer that this reader holds.
            let _ = self.changed.changed().await;
        }
    }

    /// What to send next, if it is there.
    pub fn ready(&mut self) -> Reading {
        let offset = self.offset;
        let reading = self.live.look(|s| ready_at(s, offset));
        if let Reading::Tokens { tokens, .. } = &reading {
            self.offset += tokens.len() as u64;
        }
        reading
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.live.readers.fetch_sub(1, Ordering::Relaxed);
        self.live.change(|s| s.idle_since = self.timers.now());
    }
}

fn ready_at(s: &State, offset: u64) -> Reading {
    let tokens = s.answer.released_from(offset);
    if !tokens.is_empty() {
        let event = |i: u64| EventId {
            tokens: offset + i + 1,
            // Released tokens are accepted ones, so their digest is known.
            chain: s.answer.prefix_digest(offset + i + 1).unwrap_or_default(),
            holder: s.copy.holder().cloned(),
        };
        let tokens = (0..).zip(tokens).map(|(i, t)| (Arc::clone(t), event(i)));
        return Reading::Tokens {
            offset,
            tokens: tokens.collect(),
        };
    }
    if let Some(end) = &s.end {
        return Reading::End(end.clone());
    }
    match s.answer.released_finish() {
        Some(finish) => Reading::Finish(finish),
        None => Reading::Wait,
    }
}
