//! The JSON bodies of the engine's protocol.
//!
//! The engine's protocol defines the names of fields and variants. Besides the clients in this
//! crate, the router uses the types to build requests, and the stand-in engine implements them.

use cloverpier_core::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The request to start a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Id of the generation, assigned by the router; unique for each attempt.
    pub generation: String,
    /// The model that the engine must have loaded.
    pub model: ModelName,
    /// The text to generate a response to.
    pub prompt: Arc<str>,
    /// The first tokens of the response, from earlier attempts; the generation continues after them.
    pub prefix: Vec<Arc<str>>,
    /// Upper bound of the tokens of the whole response, including `prefix`.
    pub max_tokens: u32,
    /// 0 to 9; the engine starts requests of higher priority first.
    pub priority: u8,
    /// The model adapter to apply; `None` for the plain model.
    pub adapter: Option<AdapterName>,
}

/// The request to resume or cancel a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerationBody {
    /// Id of the generation, as in [`GenerateBody::generation`].
    pub generation: String,
    /// Offset in the whole response, including the request's prefix, of the first token to send again;
    /// a cancellation ignores it.
    #[serde(default)]
    pub offset: u64,
}

/// A line of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// A generated token.
    Token {
        /// Number of tokens before this one in the whole response, including the request's prefix.
        offset: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The end of the generation, after the last token.
    Finish {
        /// Number of tokens in the whole response, including the request's prefix.
        at: u64,
        /// Whether the response ended because it reached `max_tokens`.
        length: bool,
    },
}

/// The engine's load, as its response to a load query reports it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Number of running generations.
    pub running: u32,
    /// Number of generations in the engine's queue.
    pub waiting: u32,
    /// Upper bound of concurrently running generations.
    pub slots: u32,
    /// Whether the engine is about to stop and accepts no new generations.
    pub leaving: bool,
    /// Time since the engine measured the other values, in milliseconds.
    pub age_ms: u64,
}
