//! Orders the streams that wait.
//!
//! - **Question.** Which of two waiting streams is sent first?
//! - **Inputs.** Whether the caller has a part of the stream; the request's priority; whether its client account has its
//!   fair share; when the request arrived, and the objective of its route.
//! - **Result.** A [`Rank`], and within a rank the order of the times until which the first event counts as on time.
//! - **Why.** A caller that has a part of its stream notices each further second. Among new streams, the operator's
//!   priorities come first, and equally urgent accounts get equal shares, so that an account that sends many requests
//!   waits for its own ones and not the others.
//!
//! Owns no state.

use super::reports::AccountKey;
use crate::load::Load;
use cloverpier_core::ServiceName;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The wait before a stream that found no engine at its turn gets another turn. It doubles with each such turn, because
/// the engines that the stream may use have less room than the service.
const FIRST_TURN_PAUSE: Duration = Duration::from_millis(100);
/// The longest such wait.
const MAX_TURN_PAUSE: Duration = Duration::from_millis(800);

/// The class of a waiting stream; lower ranks go first. The order of the fields is the order of precedence, and part of
/// the messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// False if the caller has received a part of the stream.
    pub is_new: bool,
    /// The request's priority, 0 the highest.
    pub priority: u8,
    /// Whether the client account has its fair share without this stream.
    pub is_beyond_share: bool,
    /// Whether the time within which the first event counts as on time has passed. Such a stream lets those go first
    /// that can still be on time.
    pub is_late: bool,
}

/// Identifies a waiting stream at its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A stream that waits at this router.
#[derive(Clone, Debug)]
pub struct WaitingStream {
    /// The service whose engines the stream needs.
    pub service: ServiceName,
    /// When the request arrived.
    pub arrived: Instant,
    /// Whether the caller has received a part of the stream.
    pub is_resumed: bool,
    /// The request's priority, 0 the highest.
    pub priority: u8,
    /// The time from its arrival within which the first event counts as on time.
    pub objective: Duration,
    /// The load that the stream adds at its engine.
    pub load: Load,
    /// Capacity of an engine's KV cache in tokens.
    pub engine_memory: u64,
    /// The client account; `None` for a request without one, which never counts as beyond a share.
    pub account: Option<AccountKey>,
    /// Number of turns at which no engine took the stream.
    pub failed_turns: u32,
    /// The stream gets no turn before this time.
    pub not_before: Instant,
}

impl WaitingStream {
    /// The rank of the stream. A resumed stream is not delayed for its account's sake.
    pub fn rank(&self, is_beyond_share: bool) -> Rank {
        Rank {
            is_new: !self.is_resumed,
            priority: self.priority,
            is_beyond_share: is_beyond_share && !self.is_resumed,
            is_late: false,
        }
    }

    /// The rank of the stream at a time.
    pub fn rank_at(&self, is_beyond_share: bool, now: Instant) -> Rank {
        Rank {
            is_late: !self.is_resumed && self.due() <= now,
            ..self.rank(is_beyond_share)
        }
    }

    /// The time until which the first event counts as on time. Streams of one rank go in the order of this time.
    pub fn due(&self) -> Instant {
        self.arrived + self.objective
    }

    /// Records a turn at which no engine took the stream.
    pub fn on_failed_turn(&mut self, now: Instant) {
        let doublings = self.failed_turns.min(8);
        let pause = FIRST_TURN_PAUSE.saturating_mul(1 << doublings);
        self.failed_turns += 1;
        self.not_before = now + pause.min(MAX_TURN_PAUSE);
    }
}
