//! Messages between routers about the software versions that began streams: records and their acknowledgements, queries
//! and replies. `cloverpier_router_policy::stream_version` defines what they mean. Owns no state.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Records of streams that the sender relays, for a router that holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecordsMessage {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The number that the recipient acknowledges; `None` for records that are sent again from time to time.
    pub number: Option<u64>,
    /// The records, at most 24 in one message.
    pub records: Vec<OriginRecord>,
}

/// The acknowledgement of [`OriginRecordsMessage`]: the sender holds the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAck {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The number of the acknowledged message.
    pub number: u64,
}

/// The query for the version that began a stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// Identifies the query among those of the sender.
    pub number: u64,
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamKey>,
    /// The service of the stream.
    pub service: ServiceName,
}

/// The reply to an [`OriginQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The number of the query.
    pub number: u64,
    /// How the stream began; `None` if the sender holds no record of it.
    pub origin: Option<StreamOrigin>,
    /// The versions of the service that the sender's lists have contained.
    pub versions: VersionsReport,
}
