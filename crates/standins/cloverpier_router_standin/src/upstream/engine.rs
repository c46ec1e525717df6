//! How a model engine works on streams: it lets them in by priority as its memory has room, and reads one prompt after
//! the other.

use crate::http::Head;
use cloverpier_core::lock;
use cloverpier_router::{HeaderNames, TokenCounts};
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;

/// The priority of requests that name none.
const DEFAULT_PRIORITY: u8 = 5;
/// The pace of an engine that nothing slows, in percent.
const USUAL_PACE: u32 = 100;

/// What an engine's answers state of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests that are let in.
    pub running: u32,
    /// Requests that wait for room.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time; `None` for an engine that does not state it.
    pub pace_percent: Option<u32>,
}

/// How the platform's engines state their load in the headers of their answers.
#[derive(Clone, Copy, Debug)]
pub struct EngineShape {
    /// The header that states the load.
    pub load_header: &'static str,
    /// Writes that header.
    pub load: fn(LoadFigures) -> String,
}

/// An engine with bounded memory and speed.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// How it states its load.
    pub shape: EngineShape,
    /// Parses the token counts that a request declares.
    pub token_counts: fn(&str) -> Option<TokenCounts>,
    /// Prompt tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// Requests that may wait there; it refuses any more.
    pub max_waiting: usize,
    /// Whether it states its pace.
    pub states_pace: bool,
}

/// What a stream needs of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamDemand {
    priority: u8,
    unread_tokens: u32,
    memory_tokens: u32,
}

/// A running engine.
#[derive(Debug)]
pub(crate) struct Engine {
    spec: EngineSpec,
    slots: u32,
    queue: Mutex<Queue>,
    /// Notifies those that wait that room has come.
    room: Notify,
    /// Locked while a prompt is read; handed on in the order in which streams are let in.
    reader: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct Queue {
    /// Priority and number of those that wait: the first one is let in next.
    waiting: BTreeSet<(u8, u64)>,
    next_number: u64,
    running: u32,
    used_tokens: u32,
    pace_percent: u32,
}

/// The place of a stream in the queue and then in the memory, until it is dropped.
#[derive(Debug)]
pub(crate) struct Place<'a> {
    engine: &'a Engine,
    ticket: (u8, u64),
    tokens: u32,
    is_let_in: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut queue = lock(&self.engine.queue);
        if self.is_let_in {
            queue.running -= 1;
            queue.used_tokens -= self.tokens;
        } else {
            queue.waiting.remove(&self.ticket);
        }
        self.engine.room.notify_waiters();
    }
}

impl Place<'_> {
    /// Lets the stream in if it is the first in the queue and there is room.
    fn try_let_in(&mut self) -> bool {
        let mut queue = lock(&self.engine.queue);
        let has_room = queue.running < self.engine.slots
            && queue.used_tokens + self.tokens <= self.engine.spec.memory_tokens;
        self.is_let_in = has_room && queue.waiting.first() == Some(&self.ticket);
        if self.is_let_in {
            queue.waiting.pop_first();
            queue.running += 1;
            queue.used_tokens += self.tokens;
            // The next one may fit, too.
            self.engine.room.notify_waiters();
        }
        self.is_let_in
    }
}

impl Engine {
    pub(super) fn new(spec: EngineSpec, slots: u32) -> Self {
        Self {
            spec,
            slots,
            queue: Mutex::new(Queue {
                waiting: BTreeSet::new(),
                next_number: 0,
                running: 0,
                used_tokens: 0,
                pace_percent: USUAL_PACE,
            }),
            room: Notify::new(),
            reader: tokio::sync::Mutex::new(()),
        }
    }

    /// What a stream needs, by its headers. A replica, or a prompt that was read before, needs no reading.
    pub(super) fn demand(&self, head: &Head, names: &HeaderNames, was_read: bool) -> StreamDemand {
        let counts = head.get(names.token_counts.as_str());
        let counts = counts.and_then(self.spec.token_counts);
        let counts = counts.unwrap_or_default();
        let has_replica = head.get(names.resume_from.as_str()).is_some();
        let priority = head.get(names.priority.as_str());
        StreamDemand {
            priority: priority
                .and_then(|p| p.parse().ok())
                .unwrap_or(DEFAULT_PRIORITY),
            unread_tokens: if was_read || has_replica {
                0
            } else {
                counts.prompt_tokens
            },
            memory_tokens: counts.prompt_tokens + counts.max_response_tokens,
        }
    }

    /// Whether it refuses a stream for lack of room.
    pub(super) fn refuses(&self, demand: StreamDemand) -> bool {
        let is_too_large = demand.memory_tokens > self.spec.memory_tokens;
        is_too_large || lock(&self.queue).waiting.len() >= self.spec.max_waiting
    }

    /// Waits until the stream is let in and its prompt is read.
    pub(super) async fn enter(&self, demand: StreamDemand) -> Place<'_> {
        let mut place = self.queue_up(demand);
        loop {
            let room = self.room.notified();
            tokio::pin!(room);
            // From here on, no notification is missed.
            room.as_mut().enable();
            if place.try_let_in() {
                break;
            }
            room.await;
        }
        let reading = self.reader.lock().await;
        let ms = f64::from(demand.unread_tokens) / self.spec.tokens_per_ms;
        tokio::time::sleep(self.paced(Duration::from_secs_f64(ms / 1e3))).await;
        drop(reading);
        place
    }

    fn queue_up(&self, demand: StreamDemand) -> Place<'_> {
        let mut queue = lock(&self.queue);
        let ticket = (demand.priority, queue.next_number);
        queue.next_number += 1;
        queue.waiting.insert(ticket);
        Place {
            engine: self,
            ticket,
            tokens: demand.memory_tokens,
            is_let_in: false,
        }
    }

    /// How long work takes now that usually takes so long.
    pub(crate) fn paced(&self, usual: Duration) -> Duration {
        usual * lock(&self.queue).pace_percent / USUAL_PACE
    }

    /// Sets how long work takes, in percent of the usual time.
    pub(super) fn set_pace(&self, percent: u32) {
        lock(&self.queue).pace_percent = percent;
    }

    /// The header that states its load.
    pub(super) fn load_header(&self) -> (String, String) {
        let queue = lock(&self.queue);
        let figures = LoadFigures {
            running: queue.running,
            waiting: u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX),
            slots: self.slots,
            pace_percent: self.spec.states_pace.then_some(queue.pace_percent),
        };
        let shape = &self.spec.shape;
        (shape.load_header.to_owned(), (shape.load)(figures))
    }
}
