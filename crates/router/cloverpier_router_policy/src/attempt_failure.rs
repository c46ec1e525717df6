//! Classifies the end of an attempt: a valid response, or a failure that shows whether the request ran.
//!
//! - **Question.** Is this response the upstream's response to this request? If it is not, or if no response
//!   arrived: did the request run, did it not run, or is that unknown?
//! - **Inputs.** A [`ResponseHead`]: the status, whether the response carries this request's id, and the
//!   headers by which upstreams sign responses and declare that a request did not run. For broken
//!   connections, the operating system's error kind.
//! - **Result.** `Ok` for a valid response, else an [`AttemptFailure`], which has an [`AttemptOutcome`] and
//!   a message for logs and callers.
//! - **Why.** Connections are reused, and upstreams crash in the middle of responses. So bytes that arrive
//!   may belong to another request, to another process at the same address, or to no response at all. Only
//!   an explicit declaration by the responding process proves that a request which was sent did not run; in
//!   all other cases the request may have run.
//!
//! No decision depends on the text of an error message: [`io::ErrorKind`] distinguishes connection errors.
//! Relies only on the values passed in and owns no state.

use crate::attempts::AttemptOutcome;
use cloverpier_core::is_final_status;
use cloverpier_crashes::LossCause;
use std::fmt;
use std::io;

/// HTTP status "421 Misdirected Request" (RFC 9110, 15.5.20): another process has the upstream's address.
const MISDIRECTED: u16 = 421;
/// HTTP status "503 Service Unavailable" (RFC 9110, 15.6.4): the upstream has no room for the request.
const SERVICE_UNAVAILABLE: u16 = 503;

/// How the request id in a response compares with the id of the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdMatch {
    /// The response carries this request's id.
    Same,
    /// The response carries another request's id.
    Other,
    /// The response carries no request id.
    Missing,
}

/// The properties of a response's head that decide whether the response is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Whether the response carries the id of the request that was sent.
    pub id: RequestIdMatch,
    /// Whether this is the first response on its connection, so that it can't be a late response to an
    /// earlier request.
    pub is_first_on_connection: bool,
    /// Whether a header declares that the upstream did not run the request.
    pub is_marked_not_run: bool,
    /// Whether the response has a signature header; the signature itself is not verified here.
    pub is_signed: bool,
    /// Whether the body has a transfer coding that is not decoded.
    pub is_transfer_coded: bool,
    /// Whether the body has a content encoding, although no caller asked for one.
    pub is_encoded: bool,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection to the upstream could be opened.
    NotConnected {
        /// The operating system's error.
        error: String,
    },
    /// The request could not be encoded as an HTTP message, so it was not sent.
    InvalidMessage {
        /// The HTTP library's error.
        error: String,
    },
    /// The connection broke before the head of a response arrived.
    BrokenBeforeResponse {
        /// Whether no byte of the request had left this process.
        was_unsent: bool,
        /// The HTTP library's error and the operating system's error.
        error: String,
    },
    /// The response carries another request's id, or no id although it may be a late response to an earlier
    /// request on its connection.
    RequestIdMismatch,
    /// Another process responded at the upstream's address (status 421).
    Misdirected,
    /// The body has a transfer coding that is not decoded here, so the received bytes are not the body.
    TransferCoded,
    /// The response has no final status.
    InvalidStatus {
        /// The status.
        status: u16,
    },
    /// The upstream declared that it did not run the request.
    NotRun {
        /// The HTTP status of the response.
        status: u16,
    },
    /// A response with a success status has no signature.
    Unsigned,
    /// A response with a success status has a content encoding, although no caller asked for one.
    ContentEncoded,
    /// The upstream responded with an error status and did not declare that the request was not run.
    UpstreamError {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The connection broke within the body of a response that is no event stream.
    ResponseBroken {
        /// The HTTP library's error.
        error: String,
    },
    /// The connection broke within the body of an upstream's error response to a stream request.
    ErrorResponseBroken {
        /// The HTTP library's error.
        error: String,
    },
    /// The connection broke within an event stream.
    StreamBroken {
        /// The HTTP library's error and the operating system's error.
        error: String,
    },
    /// An event stream ended regularly, but in the middle of an event.
    EndedInsideEvent,
    /// An event stream without a length ended with its connection before its first event.
    EndedBeforeEvent,
    /// An event exceeds the maximum length ([`crate::events::EventError::TooLong`]) or the buffer memory that is available
    /// ([`crate::buffer_memory`]).
    EventTooLong,
    /// No upstream runs the stream at present.
    NoCurrentUpstream,
    /// The upstream has restarted, perhaps with another software version, since the attempt of a stream in progress was
    /// sent to it.
    VersionNotConfirmed,
    /// The process of the upstream ended while the response was awaited.
    UpstreamDead,
    /// The upstream does not respond, and another one takes the request on.
    UpstreamSilent,
    /// Nothing arrives on the connection of the attempt, while the upstream responds over another path.
    PathLost,
    /// The upstream is alive, but the response makes no progress.
    Stalled,
    /// The attempt was cancelled because the request's content crashes upstreams.
    Stopped,
    /// The upstream began to leave after it was chosen and before the request was sent.
    UpstreamLeaves,
    /// The request's deadline passed, or was too close, before the request was sent.
    DeadlinePassedUnsent,
    /// The request's deadline passed after the request was sent.
    DeadlinePassedSent,
}

impl AttemptFailure {
    /// Whether the failure shows that the request ran, did not run, or may have run.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotConnected { .. }
            | Self::InvalidMessage { .. }
            | Self::UpstreamLeaves
            | Self::DeadlinePassedUnsent => AttemptOutcome::NotSent,
            Self::BrokenBeforeResponse { was_unsent, .. } if *was_unsent => AttemptOutcome::NotSent,
            Self::Misdirected => AttemptOutcome::Misdirected,
            Self::NotRun { .. } => AttemptOutcome::Refused,
            Self::UpstreamError { .. } => AttemptOutcome::Failed,
            Self::BrokenBeforeResponse { .. }
            | Self::RequestIdMismatch
            | Self::InvalidStatus { .. }
            | Self::TransferCoded
            | Self::Unsigned
            | Self::ContentEncoded
            | Self::ResponseBroken { .. }
            | Self::ErrorResponseBroken { .. }
            | Self::StreamBroken { .. }
            | Self::EndedInsideEvent
            | Self::EndedBeforeEvent
            | Self::EventTooLong
            | Self::NoCurrentUpstream
            | Self::VersionNotConfirmed
            | Self::UpstreamDead
            | Self::UpstreamSilent
            | Self::PathLost
            | Self::Stalled
            | Self::Stopped
            | Self::DeadlinePassedSent => AttemptOutcome::Unknown,
        }
    }

    /// How the attempt was lost, for crash attribution: set if the upstream may have crashed while it had the
    /// request, or if the request may still crash it. `None` for failures that are no sign of a crash.
    pub fn loss(&self) -> Option<LossCause> {
        match self {
            Self::BrokenBeforeResponse { was_unsent, .. } => {
                (!was_unsent).then_some(LossCause::ConnectionBroken)
            }
            Self::ResponseBroken { .. }
            | Self::ErrorResponseBroken { .. }
            | Self::StreamBroken { .. }
            | Self::EndedInsideEvent
            | Self::EndedBeforeEvent => Some(LossCause::ConnectionBroken),
            Self::UpstreamDead | Self::UpstreamSilent => Some(LossCause::UpstreamSilent),
            Self::PathLost | Self::Stalled | Self::DeadlinePassedSent => Some(LossCause::Abandoned),
            _ => None,
        }
    }

    /// Whether the failure is a sign that the upstream fails requests. A lost path and a restart are none.
    pub fn counts_against_upstream(&self) -> bool {
        let is_no_sign = matches!(self, Self::PathLost | Self::VersionNotConfirmed);
        !is_no_sign && self.outcome().may_have_run()
    }

    /// Whether the upstream refused the request because it had no room for it.
    pub fn is_for_lack_of_room(&self) -> bool {
        matches!(self, Self::NotRun { status } if *status == SERVICE_UNAVAILABLE)
    }

    /// Whether the attempt was ended although its upstream may still go on with it.
    pub fn leaves_upstream(&self) -> bool {
        matches!(self, Self::UpstreamSilent | Self::PathLost | Self::Stalled)
    }

    /// Whether the attempt failed because the request's deadline passed.
    pub fn is_past_deadline(&self) -> bool {
        matches!(self, Self::DeadlinePassedUnsent | Self::DeadlinePassedSent)
    }
}

/// Callers receive these messages in error bodies and on-call engineers search logs for them, so the wording
/// is part of the interface.
impl fmt::Display for AttemptFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected { error } => write!(f, "can't connect: {error}"),
            Self::InvalidMessage { error }
            | Self::BrokenBeforeResponse { error, .. }
            | Self::ErrorResponseBroken { error } => f.write_str(error),
            Self::RequestIdMismatch => f.write_str("an answer to another request"),
            Self::Misdirected => f.write_str("another server answers there"),
            Self::InvalidStatus { status } => write!(f, "an answer with the status {status}"),
            Self::TransferCoded => f.write_str("an answer in a transfer coding"),
            Self::NotRun { status } => write!(f, "refused with {status}"),
            Self::Unsigned => f.write_str("an unsigned success"),
            Self::ContentEncoded => f.write_str("an encoded answer"),
            Self::UpstreamError { status } => write!(f, "the server answered {status}"),
            Self::ResponseBroken { error } => write!(f, "the answer broke off: {error}"),
            Self::StreamBroken { error } => write!(f, "the stream broke: {error}"),
            Self::EndedInsideEvent => f.write_str("the stream ended inside an event"),
            Self::EndedBeforeEvent => f.write_str("the stream ended before its first event"),
            Self::EventTooLong => f.write_str("an event is too long"),
            Self::NoCurrentUpstream => f.write_str("no server has the request"),
            Self::VersionNotConfirmed => {
                f.write_str("the server has restarted, perhaps with another version")
            }
            Self::UpstreamDead | Self::UpstreamSilent => f.write_str("the server is silent"),
            Self::PathLost => f.write_str("the server is silent here, and a peer reaches it"),
            Self::Stalled => f.write_str("the answer is stuck at a living server"),
            Self::Stopped => f.write_str("the request ends the servers that run it"),
            Self::UpstreamLeaves => f.write_str("the server leaves"),
            Self::DeadlinePassedUnsent | Self::DeadlinePassedSent => f.write_str("the time is up"),
        }
    }
}

impl std::error::Error for AttemptFailure {}

/// Checks that a response is the upstream's valid response to this request.
///
/// Only a response with a success status (2xx) needs a signature.
///
/// # Errors
///
/// The [`AttemptFailure`] if the response is not valid, or if it declares that the request did not run.
pub fn check_response(head: &ResponseHead) -> Result<(), AttemptFailure> {
    let is_for_request = match head.id {
        RequestIdMatch::Same => true,
        RequestIdMatch::Other => false,
        RequestIdMatch::Missing => head.is_first_on_connection,
    };
    if !is_for_request {
        return Err(AttemptFailure::RequestIdMismatch);
    }
    if !is_final_status(head.status) {
        let status = head.status;
        return Err(AttemptFailure::InvalidStatus { status });
    }
    if head.status == MISDIRECTED {
        return Err(AttemptFailure::Misdirected);
    }
    if head.is_marked_not_run {
        let status = head.status;
        return Err(AttemptFailure::NotRun { status });
    }
    if head.is_transfer_coded {
        return Err(AttemptFailure::TransferCoded);
    }
    let is_success = (200..300).contains(&head.status);
    if is_success && !head.is_signed {
        return Err(AttemptFailure::Unsigned);
    }
    if is_success && head.is_encoded {
        return Err(AttemptFailure::ContentEncoded);
    }
    Ok(())
}

/// Whether a connection error is a reason to probe whether the upstream's process has ended.
///
/// When a process ends, its host resets the open connections and refuses new ones. A clean close or a broken
/// pipe is no such sign, as upstreams close idle connections. A reset is no proof either: a running upstream
/// may lose a response to a reset. If a reset counted as proof, each router in turn would close all its
/// connections to a running upstream and report it to the others. The probe settles the question: a host
/// without the process refuses it within a round trip.
pub fn may_mean_process_gone(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionRefused
    )
}
