//! HTTP clients of model engines and plain services.
//!
//! This crate owns the wire formats of upstreams. Its errors distinguish whether the upstream may
//! have executed the request. Connections to plain services are not reused, so only a failed
//! connection attempt proves that a request was not executed, and `reqwest` reports that case. The
//! router on the platform reuses connections and therefore has to find out whether a byte was
//! written (`cloverpier_router::connection`).
//!
//! ```no_run
//! # async fn example(request: cloverpier_upstream::GenerateBody) {
//! use cloverpier_upstream::prelude::*;
//!
//! let engine = EnginePool::new().engine("127.0.0.1:9000".parse().unwrap());
//! let mut stream = engine.generate(&request).await.unwrap();
//! while let Ok(Some(event)) = stream.next().await {
//!     println!("{event:?}");
//! }
//! # }
//! ```

mod engine;
mod head;
mod plain;
mod statement;
mod wire;

/// All public types and functions, for a glob import.
pub mod prelude {
    pub use crate::engine::{
        Engine, EngineLoad, EnginePool, EventStream, LoadError, StartError, StreamError,
    };
    pub use crate::head::HeadError;
    pub use crate::plain::{PlainCall, PlainError, PlainResponse, call_plain};
    pub use crate::statement::UpstreamStatement;
    pub use crate::wire::{EngineEvent, GenerateBody, GenerationBody, LoadBody};
    pub use cloverpier_body::BodyError;
}

pub use prelude::*;
