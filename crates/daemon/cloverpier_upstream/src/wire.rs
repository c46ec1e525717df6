//! Shapes of the engine's JSON.
//!
//! Names of fields are the engine's. Nothing outside this crate sees them but stand-ins.

use cloverpier_core::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An order to generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateBody {
    /// Names the generation; unique for each attempt.
    pub generation: String,
    /// The model that must be loaded.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens that an earlier attempt has generated; the new ones go on from there.
    pub prefix: Vec<Arc<str>>,
    /// The most tokens of the whole answer, the prefix included.
    pub max_tokens: u32,
    /// 0 to 9; higher goes first.
    pub priority: u8,
    /// The adapter, when one is asked for.
    pub adapter: Option<AdapterName>,
}

/// Names a generation and an offset in its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerationBody {
    /// The generation.
    pub generation: String,
    /// Where to go on, for a resume.
    #[serde(default)]
    pub offset: u64,
}

/// A line of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// A token of the answer.
    Token {
        /// Its offset in the whole answer.
        offset: u64,
        /// Its text.
        text: Arc<str>,
    },
    /// The end of the answer.
    Finish {
        /// Tokens in the whole answer.
        at: u64,
        /// Whether the limit ended it.
        length: bool,
    },
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Generations that run.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// Generations that can run at once.
    pub slots: u32,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}
