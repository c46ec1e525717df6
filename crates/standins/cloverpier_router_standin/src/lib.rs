//! Stand-ins for what a router meets: upstreams, engines, a store, links, callers.
//!
//! Each speaks the words that a [`cloverpier_router::WireNames`] and
//! [`store::StoreShapes`] give it, so it stands in for any platform. Upstreams
//! keep a ledger of what they ran, and callers check what they got, so that no
//! check has to take a router's word. Bytes are written by hand, as the faults
//! include answers that no library would send.
//!
//! ```
//! use cloverpier_router_standin::answers::event_bytes;
//!
//! assert_eq!(event_bytes("prompt", 3, None), b"id: 3\ndata: prompt-3\n\n");
//! ```

pub mod answers;
pub mod api;
pub mod caller;
mod http;
pub mod ledger;
pub mod link;
mod moment;
mod socket_diag;
mod socket_owner;
pub mod store;
pub mod upstream;

pub use moment::now;
