//! Crash attribution: finds out which requests crash upstreams, by the content that the repeats of a request share, and
//! blocks these contents.
//!
//! | concern | module |
//! | --- | --- |
//! | the crash tracker, and the requests whose attempts may be cancelled | [`state`] |
//! | events that this router observes: lost attempts, crashes and responses of upstreams | [`record`] |
//! | attempts that are abandoned before their outcome is known | [`abandoned`] |
//! | lost attempts, until a crash is recorded or the attempt is discarded | [`resolution`] |
//! | whether a request may be sent now, and holding it until it may | [`admission`] |
//! | registration of attempts that may still crash their upstreams | [`in_flight`] |
//! | cancelling requests whose content is blocked | [`block_changes`] |
//! | crash reports to and from peers | [`reports`] |
//! | the other upstreams of a crashed upstream's service | [`neighbours`] |
//!
//! Decides nothing: `cloverpier_crashes` does. Code outside of this folder imports the single modules, so that code
//! that only records events does not depend on the modules that probe upstreams.

pub(crate) mod abandoned;
pub(crate) mod admission;
pub(crate) mod block_changes;
mod in_flight;
mod neighbours;
pub(crate) mod record;
pub(crate) mod reports;
pub(crate) mod resolution;
pub(crate) mod state;
