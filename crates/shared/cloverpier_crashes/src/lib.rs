//! What requests do to the upstreams that run them, by what the requests contain.
//!
//! A request may end each upstream that begins to run it, and it comes again: as a retry of a
//! router, as a repeat of its caller, at any router. Nothing but its content is the same then.
//!
//! | question | module |
//! | --- | --- |
//! | which requests are the same | [`content`] |

pub mod content;

pub use content::{Content, ContentKey};
