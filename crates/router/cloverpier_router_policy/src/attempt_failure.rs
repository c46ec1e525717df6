//! What an answer, or its absence, proves about a request's run.
//!
//! - **Question.** Does this answer count as the upstream's answer to this request? If
//!   not, or if none arrived: did the request run, did it not, or is that open?
//! - **Inputs.** An [`AnswerHead`]: status, whether the answer carries this request's id,
//!   and the marks that upstreams set. For broken connections, the system's error kind.
//! - **Answer.** `Ok` when the answer counts, else an [`AttemptFailure`], which has an
//!   [`AttemptOutcome`] and one text for logs and callers.
//! - **Why.** Connections are reused and upstreams die in the middle of answers, so bytes
//!   that arrive may belong to another request, to another process at the same address,
//!   or to nothing. Only an upstream's explicit statement proves that a request did not
//!   run; everything else that was sent may have run.
//!
//! No decision rests on the text of a message: breaks are distinguished by
//! [`io::ErrorKind`]. Relies on nothing but the values passed in.

use crate::attempts::AttemptOutcome;
use cloverpier_crashes::LossCause;
use std::fmt;
use std::io;

/// Status of "misdirected request" (RFC 9110, 15.5.20).
const MISDIRECTED: u16 = 421;

/// Whether an answer carries the id of the request that it should answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerId {
    /// It carries this request's id.
    Same,
    /// It carries another request's id.
    Other,
    /// It carries none.
    Missing,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Whose request it answers.
    pub id: AnswerId,
    /// Whether it is the first answer on its connection, so that no earlier one can be late.
    pub is_first_on_connection: bool,
    /// Whether the upstream says that it did not run the request.
    pub says_not_run: bool,
    /// Whether it carries the upstream's signature.
    pub is_signed: bool,
    /// Whether its body has a content encoding, which no caller asked for.
    pub is_encoded: bool,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection came up.
    NotConnected {
        /// The system's error.
        error: String,
    },
    /// The request could not be written as HTTP.
    NotWritten {
        /// The library's error.
        error: String,
    },
    /// The connection broke before the head of an answer.
    SendBroke {
        /// Whether no byte of the request had left this process.
        was_unsent: bool,
        /// The errors of connection and system.
        error: String,
    },
    /// The answer carries another request's id, or none where an earlier answer may be late.
    OtherRequest,
    /// Another process answers at the upstream's address.
    Misdirected,
    /// The upstream says that it did not run the request.
    NotRun {
        /// Its status.
        status: u16,
    },
    /// A success without the upstream's signature.
    Unsigned,
    /// A success with a content encoding.
    Encoded,
    /// The upstream answered with a failure of its own.
    UpstreamError {
        /// Its status.
        status: u16,
    },
    /// The body of a plain answer broke off.
    AnswerBroke {
        /// The library's error.
        error: String,
    },
    /// The body of an upstream's own failure broke off.
    FailureBroke {
        /// The library's error.
        error: String,
    },
    /// An event stream broke off.
    StreamBroke {
        /// The errors of connection and system.
        error: String,
    },
    /// An event stream ended in the middle of an event.
    EndedInsideEvent,
    /// An event is longer than any event may be.
    EventTooLong,
    /// No upstream has the request at present.
    NoSource,
    /// The upstream is considered dead.
    UpstreamDead,
    /// The upstream lives, but this answer does not progress.
    Stalled,
    /// The request was called back, as its content ends upstreams.
    Stopped,
    /// The request's time is over before it was sent.
    LateUnsent,
    /// The request's time is over after it was sent.
    LateSent,
}

impl AttemptFailure {
    /// What the failure says about the request's run.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotConnected { .. } | Self::NotWritten { .. } | Self::LateUnsent => {
                AttemptOutcome::NotSent
            }
            Self::SendBroke { was_unsent, .. } if *was_unsent => AttemptOutcome::NotSent,
            Self::Misdirected => AttemptOutcome::Misdirected,
            Self::NotRun { .. } => AttemptOutcome::Refused,
            Self::UpstreamError { .. } => AttemptOutcome::Failed,
            Self::SendBroke { .. }
            | Self::OtherRequest
            | Self::Unsigned
            | Self::Encoded
            | Self::AnswerBroke { .. }
            | Self::FailureBroke { .. }
            | Self::StreamBroke { .. }
            | Self::EndedInsideEvent
            | Self::EventTooLong
            | Self::NoSource
            | Self::UpstreamDead
            | Self::Stalled
            | Self::Stopped
            | Self::LateSent => AttemptOutcome::Unknown,
        }
    }

    /// How the attempt was lost, where the upstream may have ended while it had the request, or may
    /// yet by it: the connection broke after the request was sent, or the upstream was found dead.
    pub fn loss(&self) -> Option<LossCause> {
        match self {
            Self::SendBroke { was_unsent, .. } => {
                (!was_unsent).then_some(LossCause::ConnectionBroken)
            }
            Self::AnswerBroke { .. }
            | Self::FailureBroke { .. }
            | Self::StreamBroke { .. }
            | Self::EndedInsideEvent => Some(LossCause::ConnectionBroken),
            Self::UpstreamDead => Some(LossCause::UpstreamSilent),
            Self::Stalled | Self::LateSent => Some(LossCause::Abandoned),
            _ => None,
        }
    }

    /// Whether the request's time is over.
    pub fn is_late(&self) -> bool {
        matches!(self, Self::LateUnsent | Self::LateSent)
    }
}

/// The texts reach callers in error bodies and on-call engineers in logs, so they stay.
impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected { error } => write!(f, "can't connect: {error}"),
            Self::NotWritten { error }
            | Self::SendBroke { error, .. }
            | Self::FailureBroke { error } => f.write_str(error),
            Self::OtherRequest => f.write_str("an answer to another request"),
            Self::Misdirected => f.write_str("another server answers there"),
            Self::NotRun { status } => write!(f, "refused with {status}"),
            Self::Unsigned => f.write_str("an unsigned success"),
            Self::Encoded => f.write_str("an encoded answer"),
            Self::UpstreamError { status } => write!(f, "the server answered {status}"),
            Self::AnswerBroke { error } => write!(f, "the answer broke off: {error}"),
            Self::StreamBroke { error } => write!(f, "the stream broke: {error}"),
            Self::EndedInsideEvent => f.write_str("the stream ended inside an event"),
            Self::EventTooLong => f.write_str("an event is too long"),
            Self::NoSource => f.write_str("no server has the request"),
            Self::UpstreamDead => f.write_str("the server is silent"),
            Self::Stalled => f.write_str("the answer is stuck at a living server"),
            Self::Stopped => f.write_str("the request ends the servers that run it"),
            Self::LateUnsent | Self::LateSent => f.write_str("the time is up"),
        }
    }
}

impl std::error::Error for AttemptFailure {}

/// Tells the upstream's own answer to this request from anything else.
///
/// # Errors
///
/// The [`AttemptFailure`] when the answer does not count, or says that nothing was run.
pub fn check_answer(head: &AnswerHead) -> Result<(), AttemptFailure> {
    let is_ours = match head.id {
        AnswerId::Same => true,
        AnswerId::Other => false,
        AnswerId::Missing => head.is_first_on_connection,
    };
    if !is_ours {
        return Err(AttemptFailure::OtherRequest);
    }
    if head.status == MISDIRECTED {
        return Err(AttemptFailure::Misdirected);
    }
    if head.says_not_run {
        let status = head.status;
        return Err(AttemptFailure::NotRun { status });
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !head.is_signed {
        return Err(AttemptFailure::Unsigned);
    }
    if is_success && head.is_encoded {
        return Err(AttemptFailure::Encoded);
    }
    Ok(())
}

/// Whether a broken connection is a reason to ask whether the upstream's process is gone.
///
/// A process that ends, and a host that has no such process any more, answer with a reset
/// or a refusal; a clean close or a broken pipe proves nothing, as upstreams close idle
/// connections. A reset is no proof either: an upstream may lose an answer so and live. Taken for
/// one, each router in turn would close all connections to a living upstream and inform the others. A
/// host without the process refuses a probe within a round trip.
pub fn may_mean_process_gone(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionRefused
    )
}
