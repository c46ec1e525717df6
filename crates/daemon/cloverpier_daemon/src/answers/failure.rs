//! Why an attempt at an engine is over, what its failure proves, and what the engine said of itself.
//! Owns nothing.

use cloverpier_crashes::LossCause;
use cloverpier_upstream::{EventStream, StartError, UpstreamStatement};
use serde::Serialize;

/// The status of an engine that does not hold a generation.
const NOT_HELD: u16 = 404;

/// Why an attempt is over.
#[derive(Debug)]
pub(super) enum Over {
    Finished,
    Moved,
    Abandoned,
    /// It was called back, as its content ends upstreams.
    Stopped,
    Failed(Failure),
}

/// What an attempt failed by; the texts are those of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Failure {
    #[serde(rename = "no answer to the order")]
    NoAnswer,
    #[serde(rename = "not reached")]
    NotReached,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "broken before the stream")]
    BrokenBeforeStream,
    #[serde(rename = "closed before the end")]
    Closed,
    #[serde(rename = "connection broken")]
    ConnectionBroken,
    #[serde(rename = "unreadable")]
    Unreadable,
    #[serde(rename = "tokens missing in the stream")]
    TokensMissing,
    #[serde(rename = "silent")]
    Silent,
    #[serde(rename = "its process is gone")]
    Gone,
    #[serde(rename = "not known to its engine any more")]
    Forgotten,
}

impl Failure {
    /// Whether the attempt ended as nothing arrived, and nothing else is known against it.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::NoAnswer | Self::Silent)
    }

    /// Whether the engine may have run the generation.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NotReached | Self::Refused)
    }

    /// How the attempt was lost, where the engine may have ended while it ran it, or may yet by it.
    pub fn loss(self) -> Option<LossCause> {
        match self {
            Self::BrokenBeforeStream | Self::Closed | Self::ConnectionBroken => {
                Some(LossCause::ConnectionBroken)
            }
            // The process ended at an unknown time of the silence.
            Self::NoAnswer | Self::Silent | Self::Gone | Self::Forgotten => {
                Some(LossCause::UpstreamSilent)
            }
            Self::NotReached | Self::Refused | Self::Unreadable | Self::TokensMissing => None,
        }
    }
}

/// What a silent engine's answer to the question for its generation proves against the attempt there;
/// `None` for nothing.
pub(super) fn proof_of(error: &StartError) -> Option<Failure> {
    match error {
        StartError::NotReached { .. } if error.is_connection_refused() => Some(Failure::Gone),
        StartError::Refused { status, .. } if *status == NOT_HELD => Some(Failure::Forgotten),
        StartError::NotReached { .. }
        | StartError::Refused { .. }
        | StartError::InvalidHead { .. }
        | StartError::OutcomeUnknown { .. } => None,
    }
}

/// What an engine says of itself in its answer to an order, if it answered.
pub(super) fn said_of(started: &Result<EventStream, StartError>) -> Option<&UpstreamStatement> {
    match started {
        Ok(stream) => Some(&stream.statement),
        Err(error) => error.statement(),
    }
}

/// What an order failed by that started no stream.
pub(super) fn start_failure(error: &StartError) -> Failure {
    match error {
        StartError::NotReached { .. } => Failure::NotReached,
        StartError::Refused { .. } => Failure::Refused,
        StartError::InvalidHead { .. } | StartError::OutcomeUnknown { .. } => {
            Failure::BrokenBeforeStream
        }
    }
}
