//! The JSON bodies of the platform's object API.
//!
//! The platform defines the names of the fields. Besides the client of this crate, only the stand-in
//! platform uses these types.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The response to a read or a watch that found an object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's version: 1 when it is created, one higher with each update.
    pub version: u64,
    /// The JSON that the last update wrote.
    pub value: Value,
}

/// The request of a conditional write.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectBody {
    /// The version that the object must have for the write to take effect; 0 if there must be no
    /// object.
    pub if_version: u64,
    /// The new value, as any JSON.
    pub value: Value,
}

/// The response to a conditional write, whether it took effect or the version did not match.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionBody {
    /// The object's version after the request; 0 if there is no object.
    pub version: u64,
}
