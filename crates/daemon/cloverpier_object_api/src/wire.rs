//! Shapes of the platform's JSON.
//!
//! Names of fields are the platform's. Nothing outside this crate sees them but stand-ins.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An object as it is read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's version; rises by one with each update.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// An object as it is written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectBody {
    /// The version that must stand; 0 when the object must not exist yet.
    pub if_version: u64,
    /// The new value.
    pub value: Value,
}

/// The answer to a write, and to one that was refused.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version that stands.
    pub version: u64,
}
