//! The router: the process that takes callers' requests to upstreams.
//!
//! It carries out what `cloverpier_router_policy` decides. One thread runs it all, so
//! its state is shared by [`std::rc::Rc`] and borrowed for moments. The words
//! spoken on the wire (header names, paths, bodies) come as a [`Dialect`], and
//! where the configuration comes from is behind [`ConfigurationSource`].
//!
//! HTTP is spoken by `hyper` at the level of connections: what may be repeated
//! turns on whether a request was written, whether an answer ended cleanly and
//! whether anything came after it, which clients with built-in pools hide.
//!
//! ```
//! use cloverpier_router::peer_messages::{Change, PeerMessage, decode, encode};
//!
//! let change = PeerMessage::Change(Change {
//!     sender: ([127, 0, 0, 1], 7104).into(),
//!     load: Vec::new(),
//!     suspects: Vec::new(),
//!     prompt_locations: Vec::new(),
//! });
//! let bytes = encode(&change).unwrap();
//! assert_eq!(decode::<PeerMessage>(&bytes).unwrap(), change);
//! ```

mod body;
mod connection;
mod decision_log;
mod dialect;
mod directory;
mod following;
mod gossip;
mod guards;
mod intake;
mod links;
mod metrics;
mod outcome;
pub mod peer_messages;
mod plain;
mod pool;
mod probe;
mod prompt_search;
mod reply;
mod router;
mod send;
mod start;
mod stop;
mod stream;
mod sync;
mod versions;
mod web;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::connection::{CallError, Caller, SimpleAnswer};
    pub use crate::dialect::{Dialect, HeaderNames, Paths, PromptSize};
    pub use crate::router::Router;
    pub use crate::start::{StartError, run_router};
    pub use crate::sync::{
        ConfigurationChange, ConfigurationSource, STORE_PATIENCE, SourceError, UpstreamChanges,
        UpstreamList,
    };
}

pub use prelude::*;
