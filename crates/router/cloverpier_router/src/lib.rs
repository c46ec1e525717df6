//! The router: the process that takes callers' requests to upstreams.
//!
//! It carries out what `cloverpier_router_policy` decides. One thread runs it all, so
//! its state is shared by [`std::rc::Rc`] and borrowed for moments. The words
//! spoken on the wire (header names, paths, bodies) come as a [`WireNames`], and
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
mod directory;
mod guards;
mod health;
mod heartbeats;
mod intake;
mod metrics;
mod outcome;
mod peer_fetch;
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
mod store_sync;
mod store_watch;
mod stream;
mod web;
mod wire_names;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::connection::{CallError, HttpAnswer, HttpClient};
    pub use crate::router::Router;
    pub use crate::start::{StartError, run_router};
    pub use crate::store_sync::{
        ConfigurationChange, ConfigurationSource, STORE_TIMEOUT, SourceError, UpstreamChanges,
        UpstreamList,
    };
    pub use crate::wire_names::{HeaderNames, Paths, PromptSize, WireNames};
}

pub use prelude::*;
