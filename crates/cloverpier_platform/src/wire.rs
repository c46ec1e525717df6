//! Shapes of the platform's JSON.

use cloverpier_core::VmName;
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

/// An object in a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedObject {
    /// The object's key.
    pub key: String,
    /// The object.
    #[serde(flatten)]
    pub object: StoredObject,
}

/// A VM in the list of VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmBody {
    /// Its name.
    pub vm: VmName,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The list of VMs; it lags.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<VmBody>,
}

/// The weight store's answer to a fetch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WeightGrant {
    /// How long the fetch takes at the granted rate, in milliseconds.
    pub transfer_ms: u64,
}
