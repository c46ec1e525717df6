//! The conclusion from other routers' replies about the version that began a stream.
//!
//! - **Question.** A caller resumes a stream that this router did not begin. Which version began it?
//! - **Inputs.** The routers that were queried; the record of the stream in each reply, and what the replying router
//!   knows of the versions of the service.
//! - **Result.** A [`LookupStep`] after each reply; after the last one, the reason why the version is not known.
//! - **Why.** One record decides. Without a record, the stream began before records were needed, or its record is lost.
//!   The first is certain only if some router proves that the service has had one version for longer than any stream
//!   lasts ([`super::history`]). Otherwise the stream must not continue.
//!
//! [`Lookup`] owns the state of one lookup.

use super::{StreamOrigin, StreamVersion, VersionsReport};
use serde::Serialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// After this time without a record or a proof, the routers that have not replied are queried again, as the datagram or
/// its reply may be lost. It is several round trips between data centres of one region.
pub const REPEAT_AFTER: Duration = Duration::from_millis(15);
/// How long a lookup takes at most. A router that is paused or dead does not reply; the others reply within a few
/// milliseconds.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(60);

/// A router's reply to a lookup.
#[derive(Clone, Debug)]
pub struct LookupReply {
    /// How the stream began; `None` if the router holds no record, or the caller named no stream.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service that the router's lists have contained.
    pub versions: VersionsReport,
}

/// The state of a lookup after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// A router holds the stream's record.
    Found(StreamOrigin),
    /// The service has had only this version for longer than any stream lasts.
    Single(StreamVersion),
    /// Further replies are needed.
    Wait,
}

/// Why the version that began a stream could not be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownOrigin {
    /// The caller does not name the request that got the first event, and several versions may have begun the stream.
    NotNamed,
    /// No other router replied, so another router may hold the record.
    NoReply,
    /// All routers have had only one version in their lists, but none can prove that there was no other, as the store has not confirmed
    /// their lists for a while. That may change soon.
    Unproven,
    /// The routers that replied hold no record, and several versions may have begun the stream.
    NotRecorded,
    /// The upstream that wrote the first event may have had two versions, or its version is not listed.
    Ambiguous,
    /// The configuration sends requests of the route to other services than the one that began the stream.
    ServiceMoved,
}

/// A lookup in progress.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// Whether the caller named the stream.
    is_named: bool,
    awaited: HashSet<SocketAddr>,
    has_reply: bool,
    /// Whether a router has reported several versions.
    has_several: bool,
}

impl Lookup {
    /// Begins a lookup of which the queries go to these routers. `is_named` is whether the caller named the stream; if
    /// not, only a service with one version has a result.
    pub fn new(queried: &[SocketAddr], is_named: bool) -> Self {
        Self {
            is_named,
            awaited: queried.iter().copied().collect(),
            has_reply: false,
            has_several: false,
        }
    }

    /// The routers that have not replied.
    pub fn awaited(&self) -> Vec<SocketAddr> {
        self.awaited.iter().copied().collect()
    }

    /// Records a reply of another router, or this router's own (`from` is `None`).
    pub fn on_reply(&mut self, from: Option<SocketAddr>, reply: LookupReply) -> LookupStep {
        if let Some(from) = from {
            self.awaited.remove(&from);
            self.has_reply = true;
        }
        if let Some(origin) = reply.origin {
            return LookupStep::Found(origin);
        }
        self.has_several |= reply.versions == VersionsReport::Several;
        match reply.versions.proven_version() {
            Some(version) => LookupStep::Single(version.clone()),
            None => LookupStep::Wait,
        }
    }

    /// Whether all queried routers have replied.
    pub fn is_complete(&self) -> bool {
        self.awaited.is_empty()
    }

    /// Whether the store's confirmation of this router's list may prove which version began the stream: no router has
    /// reported several.
    pub fn may_be_proven(&self) -> bool {
        !self.has_several
    }

    /// Why the version could not be determined, if no further reply arrives.
    pub fn unknown_reason(&self) -> UnknownOrigin {
        if self.has_several && !self.is_named {
            // No router can find the record of a stream without its name.
            UnknownOrigin::NotNamed
        } else if !self.has_reply {
            UnknownOrigin::NoReply
        } else if self.has_several {
            UnknownOrigin::NotRecorded
        } else {
            UnknownOrigin::Unproven
        }
    }
}
