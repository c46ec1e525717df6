//! What an answer says of the upstream that gave it, and of which upstream it says so.
//!
//! - **Question.** An answer carries statements on its sender: that it leaves, that it wants nothing
//!   for a while, how many requests it takes, when it started. Whose are they?
//! - **Inputs.** An [`UpstreamStatement`], as the platform's adapter has decoded it; which upstream
//!   was asked; for the answer to a request, whether it counts ([`crate::attempt_failure`]).
//! - **Answer.** A [`Sender`].
//! - **Why.** Addresses are used again and answers arrive late or twice, so an answer may come from
//!   another process than the one that was asked, or belong to nothing. A leaving that counts as
//!   another upstream's takes a sound one out of service, for good.
//!
//! How long a statement binds is decided in [`crate::leaving`], [`crate::limit`]
//! and [`cloverpier_core::wait`]. Owns nothing.

use crate::attempt_failure::AttemptFailure;
use crate::limit::LimitStatement;
use cloverpier_core::UpstreamName;
use std::time::Duration;

/// What an answer says of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// Its name; `None` where it does not say.
    pub name: Option<UpstreamName>,
    /// When it started, as a Unix time in milliseconds; `None` where it does not say.
    pub born_ms: Option<u64>,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// For how long it wants nothing from this VM.
    pub wait: Option<Duration>,
    /// How many requests a second it takes from all routers together.
    pub limit: LimitStatement,
    /// A statement that cannot be read, and so says nothing.
    pub unreadable: Option<String>,
}

/// Who made a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The upstream that was asked.
    Asked,
    /// Another one, which names itself.
    Other(UpstreamName),
    /// Nobody knows.
    Unknown,
}

/// Who answered a question that any process at the address answers.
///
/// One that does not name itself counts as the upstream that was asked. If it is the next process at
/// the address, the upstream has ended, and what is concluded of it harms nobody.
pub fn sender_of_answer(asked: &UpstreamName, said: &UpstreamStatement) -> Sender {
    match &said.name {
        Some(name) if name != asked => Sender::Other(name.clone()),
        _ => Sender::Asked,
    }
}

/// Who answered a request, which only the upstream that it names runs.
///
/// An answer to another request may be anybody's bytes. One that turns the request down as meant for
/// another process speaks for the process that it names.
pub fn sender_of_reply(
    asked: &UpstreamName,
    said: &UpstreamStatement,
    verdict: &Result<(), AttemptFailure>,
) -> Sender {
    match verdict {
        Err(AttemptFailure::RequestIdMismatch) => Sender::Unknown,
        Err(AttemptFailure::Misdirected) => match &said.name {
            Some(name) if name != asked => Sender::Other(name.clone()),
            _ => Sender::Unknown,
        },
        _ => Sender::Asked,
    }
}
