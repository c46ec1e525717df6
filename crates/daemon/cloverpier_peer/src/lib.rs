//! What routers say to each other: typed messages in `MessagePack` over HTTP.
//!
//! One request has one reply. Fields are written by name, so that routers of
//! two releases understand each other while a fleet is upgraded.
//!
//! ```
//! use cloverpier_peer::prelude::*;
//!
//! let bytes = encode(&PeerRequest::PullMembers).unwrap();
//! assert!(matches!(decode(&bytes), Ok(PeerRequest::PullMembers)));
//! ```

mod client;
mod message;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::client::{PEER_HEADER, PeerError, Peers, Traffic};
    pub use crate::message::{
        CodecError, Guest, LocateNote, PeerReply, PeerRequest, Versions, decode, encode,
    };
}

pub use prelude::*;
