//! The kinds of calls whose responses carry an upstream's statements about itself.
//!
//! Log lines about a statement contain the kind of call and the request id, so that operators can find the call.
//! Owns no state.

/// The kind of call whose response carried a statement of an upstream about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind<'a> {
    /// A caller's request, with its request id.
    Request(&'a str),
    /// A probe of an upstream that has been silent while it has requests.
    Probe,
    /// A check of a suspected upstream.
    Check,
    /// A query for an engine's load.
    LoadQuery,
    /// A query for the prompts that an engine has read recently.
    CacheQuery,
}

impl<'a> CallKind<'a> {
    /// The name of the kind in log lines.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Probe => "probe",
            Self::Check => "check",
            Self::LoadQuery => "load",
            Self::CacheQuery => "cache",
        }
    }

    /// The request id of a caller's request; `None` for other kinds.
    pub fn request(self) -> Option<&'a str> {
        match self {
            Self::Request(id) => Some(id),
            _ => None,
        }
    }
}
