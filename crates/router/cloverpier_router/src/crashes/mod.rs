//! What requests did to upstreams: learns it, judges it, and stops what ends them.
//!
//! | concern | module |
//! | --- | --- |
//! | what is known, and which requests are under way | [`state`] |
//! | what this router sees: attempts that are lost, upstreams that end or live | [`record`] |
//! | attempts that nobody waits for any more | [`abandoned`] |
//! | lost attempts, from the questions about their upstreams to the judgement | [`judgement`] |
//! | whether a request may be sent now | [`hold`] |
//! | one attempt after the other, where the next could be one too many | [`turn`] |
//! | what follows once a content is stopped | [`verdicts`] |
//! | what peers are sent, and send | [`reports`] |
//! | the upstreams around one that ended | [`neighbours`] |
//!
//! Decides nothing: `cloverpier_crashes` does. Other modules name the module that they call, so that those
//! which only record depend on nothing that asks upstreams.

pub(crate) mod abandoned;
pub(crate) mod hold;
pub(crate) mod judgement;
mod neighbours;
pub(crate) mod record;
pub(crate) mod reports;
pub(crate) mod state;
mod turn;
pub(crate) mod verdicts;
