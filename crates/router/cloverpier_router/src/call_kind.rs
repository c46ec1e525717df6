//! By which call an upstream said something of itself.
//!
//! For log lines, which lead from a statement to the request or the question that was answered. Owns
//! nothing.

/// The call whose answer said something of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind<'a> {
    /// A request of a caller, by its id.
    Request(&'a str),
    /// A probe of a silent upstream.
    Probe,
    /// A check of a suspected one.
    Check,
    /// A question about its load.
    LoadQuery,
    /// A question about the prompts that it has read.
    CacheQuery,
}

impl<'a> CallKind<'a> {
    /// Its word in log lines.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Probe => "probe",
            Self::Check => "check",
            Self::LoadQuery => "load",
            Self::CacheQuery => "cache",
        }
    }

    /// The request's id, if it was one.
    pub fn request(self) -> Option<&'a str> {
        match self {
            Self::Request(id) => Some(id),
            _ => None,
        }
    }
}
