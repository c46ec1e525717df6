//! Model engines and plain services, met through their protocols.
//!
//! All knowledge of an upstream's wire shapes is here. Failures are
//! distinguished by what they mean for the request: whether it can have run. No
//! connection to a plain service is kept, so a connection that was never made
//! proves that nothing ran, and `reqwest` does. The router on the platform keeps
//! connections and has to know whether a byte was written
//! (`cloverpier_router::connection`).
//!
//! ```no_run
//! # async fn example(order: cloverpier_upstream::GenerateBody) {
//! use cloverpier_upstream::prelude::*;
//!
//! let engine = Engines::new().engine("127.0.0.1:9000".parse().unwrap());
//! let mut stream = engine.generate(&order).await.unwrap();
//! while let Ok(Some(event)) = stream.next().await {
//!     println!("{event:?}");
//! }
//! # }
//! ```

mod engine;
mod plain;
mod statement;
mod wire;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::engine::{Engine, EngineLoad, Engines, EventStream, StartError, StreamError};
    pub use crate::plain::{PlainAnswer, PlainCall, PlainError, call_plain};
    pub use crate::statement::UpstreamStatement;
    pub use crate::wire::{EngineEvent, GenerateBody, GenerationBody, LoadBody};
}

pub use prelude::*;
