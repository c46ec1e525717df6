//! Statements that upstreams make about themselves in responses, and which upstream a statement is
//! attributed to.
//!
//! - **Question.** A response contains statements of the sender about itself: that it leaves, that it
//!   accepts no requests for some time, how many requests per second it accepts, when it started. Which
//!   upstream is the sender?
//! - **Inputs.** An [`UpstreamStatement`], decoded by the platform's adapter; the upstream that the
//!   request, probe or check was sent to; for the response to a request, whether it is a valid response
//!   to that request ([`crate::attempt_failure`]).
//! - **Answer.** A [`Sender`].
//! - **Why.** Addresses are reused, and responses arrive late or twice, so a response may come from a
//!   process other than the addressed upstream, or may belong to no open request. A leave announcement
//!   that is attributed to the wrong upstream takes a healthy upstream out of service permanently.
//!
//! How long a statement counts is defined in [`crate::leaving`], [`crate::limit`] and
//! [`cloverpier_core::wait`]. Owns no state; relies on the platform's adapter to decode responses.

use crate::attempt_failure::AttemptFailure;
use crate::brittle::BrittleStatement;
use crate::limit::LimitStatement;
use crate::pace::LoadStatement;
use cloverpier_core::UpstreamName;
use std::time::Duration;

/// The statements about its sender that a response contains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// The sender's name; `None` if the response does not contain it.
    pub name: Option<UpstreamName>,
    /// When the sender's process started, as a Unix time in milliseconds; `None` if the response does
    /// not contain the time.
    pub start_time_ms: Option<u64>,
    /// Whether the sender announces that it is about to leave.
    pub is_leaving: bool,
    /// For how long the sender accepts no requests from this VM (`Retry-After`); `None` if the response
    /// sets no such period.
    pub wait: Option<Duration>,
    /// How many requests per second the sender accepts from all routers together.
    pub limit: LimitStatement,
    /// Whether the sender crashes if it has to refuse too many requests for lack of room.
    pub brittle: BrittleStatement,
    /// The sender's load, and how long work takes there.
    pub load: LoadStatement,
    /// Describes a statement that could not be decoded and is ignored; `None` if all were decoded.
    pub unreadable: Option<String>,
}

/// The upstream that the statements in a response are attributed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The upstream to which the request, probe or check was sent.
    Addressee,
    /// Another upstream, whose name the response contains.
    Other(UpstreamName),
    /// The sender cannot be determined, so the statements are ignored.
    Unknown,
}

/// The sender of the response to a probe, check or load query, to which any process at the address
/// responds.
///
/// A response without a name counts as the addressee's. If it comes from the next process at the
/// address, the addressee has ended, and a statement that is wrongly attributed to it has no effect.
pub fn sender_of_query_response(addressee: &UpstreamName, statement: &UpstreamStatement) -> Sender {
    match &statement.name {
        Some(name) if name != addressee => Sender::Other(name.clone()),
        _ => Sender::Addressee,
    }
}

/// The sender of the response to a request, which only the upstream named in the request executes.
/// `validity` is whether the response counts as the response to this request
/// ([`crate::attempt_failure`]).
///
/// The sender of a response to another request is unknown. A process that rejects the request as
/// misdirected is the sender if the response contains that process's name.
pub fn sender_of_request_response(
    addressee: &UpstreamName,
    statement: &UpstreamStatement,
    validity: &Result<(), AttemptFailure>,
) -> Sender {
    match validity {
        Err(AttemptFailure::RequestIdMismatch) => Sender::Unknown,
        Err(AttemptFailure::Misdirected) => match &statement.name {
            Some(name) if name != addressee => Sender::Other(name.clone()),
            _ => Sender::Unknown,
        },
        _ => Sender::Addressee,
    }
}
