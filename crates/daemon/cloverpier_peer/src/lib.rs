//! The protocol between routers: typed messages in `MessagePack` over HTTP.
//!
//! Each request has one reply. Fields are encoded by name, so that routers of two releases can
//! decode each other's messages while a fleet is upgraded. This crate holds the messages, their
//! codec and the client; the server is part of `cloverpier_daemon`.
//!
//! ```
//! use cloverpier_peer::prelude::*;
//!
//! let bytes = encode(&PeerRequest::PullMembers).unwrap();
//! assert!(matches!(decode(&bytes), Ok(PeerRequest::PullMembers)));
//! ```

mod client;
mod message;

/// All public types and functions, for a glob import.
pub mod prelude {
    pub use crate::client::{MAX_MESSAGE, PEER_HEADER, PeerClient, PeerError, Traffic};
    pub use crate::message::{
        CodecError, CopyLocation, Guest, PeerReply, PeerRequest, Versions, decode, encode,
    };
}

pub use prelude::*;
