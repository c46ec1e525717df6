//! Log lines about the state of upstreams and of the paths to them.
//!
//! The names of events and fields are outer names; see the parent module. Owns no state.

use serde::Serialize;

/// A process responded under another name at the address of a dead upstream, its predecessor. This router evaluated
/// whether the process must belong to the same service.
#[derive(Serialize)]
pub(crate) struct SuccessorEvaluated<'a> {
    #[serde(rename = "server")]
    pub predecessor: &'a str,
    /// The name of the process that responded; `None` if the response does not contain it.
    pub responder: Option<&'a str>,
    /// Milliseconds since this router read data of the predecessor's responses; `None` if it has read none. Not an input
    /// of the decision.
    pub read_ago_ms: Option<u64>,
    /// Milliseconds since the sending of the latest call that has a response under the predecessor's name; `None` without
    /// one.
    pub proven_alive_ago_ms: Option<u64>,
    /// For how many milliseconds after the end of a process the platform withholds its address from other services.
    pub address_reuse_ms: u64,
    pub is_same_service: bool,
}

/// An upstream was suspected to be dead, found to be alive, replaced or restarted.
#[derive(Serialize)]
pub(crate) struct UpstreamStateChanged<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    pub reason: &'a str,
    /// Milliseconds since the upstream's last activity when it was suspected, or the time for which it was suspected
    /// when it was found to be alive. 0 for other events.
    pub silent_ms: u64,
}

/// Calls of this router to several upstreams of a service failed, and none has responded since.
#[derive(Serialize)]
pub(crate) struct ServiceUnreachable<'a> {
    pub service: &'a str,
    /// Number of upstreams to which calls failed.
    pub failed: usize,
    /// Number of listed upstreams of the service.
    pub listed: usize,
    /// Number of the service's upstreams that peers suspect. If it is 0, peers probably reach the service.
    pub suspected_by_peers: usize,
    /// Milliseconds since an upstream of the service last responded; `None` if none ever did.
    pub silent_ms: Option<u64>,
}

/// An upstream of an unreachable service responded.
#[derive(Serialize)]
pub(crate) struct ServiceReachable<'a> {
    pub service: &'a str,
    /// Milliseconds for which the service was unreachable.
    pub unreachable_ms: u64,
}

/// A direct connection to an upstream came up, but not soon: a peer was asked for a tunnel meanwhile.
#[derive(Serialize)]
pub(crate) struct ConnectionSlow<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// Milliseconds from the attempt to connect until the connection was up.
    pub took_ms: u64,
}

/// This router does not reach an upstream, and a peer does; new connections go through peers.
#[derive(Serialize)]
pub(crate) struct PathLost<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    /// The peer that reached the upstream.
    pub peer: Option<String>,
    /// Whether new connections to all upstreams of the service go through peers from now on.
    #[serde(rename = "cut_off")]
    pub is_cut_off: bool,
}

/// Peers do not reach an upstream either that this router does not reach, while others of its service respond: for a
/// while, no tunnel is tried for the service.
#[derive(Serialize)]
pub(crate) struct UpstreamsTakenForDead<'a> {
    pub service: &'a str,
    /// The upstream that the peers tried.
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// Number of peers that did not reach it.
    pub peers: usize,
}

/// This router reaches an upstream over its own connections again.
#[derive(Serialize)]
pub(crate) struct PathRestored<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    /// Milliseconds for which the path was lost.
    pub lost_ms: u64,
}

/// This router opened a tunnel to an upstream through a peer.
#[derive(Serialize)]
pub(crate) struct TunnelOpened<'a> {
    /// The id of the tunnel, which the peer logs, too.
    pub tunnel: String,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub peer: String,
    pub took_ms: u64,
}

/// A peer did not open a tunnel to an upstream for this router.
#[derive(Serialize)]
pub(crate) struct TunnelFailed<'a> {
    pub tunnel: String,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub peer: String,
    pub reason: &'a str,
    pub took_ms: u64,
}

/// A peer requested a tunnel from this router.
#[derive(Serialize)]
pub(crate) struct TunnelServed<'a> {
    pub tunnel: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The IP address of the requesting router.
    pub peer: Option<String>,
    /// Why the tunnel was not opened; `None` if it was.
    pub failure: Option<&'static str>,
}

/// A tunnel that this router served was closed.
#[derive(Serialize)]
pub(crate) struct TunnelClosed<'a> {
    pub tunnel: &'a str,
    /// The error that closed it; `None` if the peer or the upstream closed it regularly.
    pub error: Option<String>,
    pub open_ms: u64,
}

/// A request is sent to an upstream in a tunnel through a peer.
#[derive(Serialize)]
pub(crate) struct SentThroughPeer<'a> {
    /// The request id.
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub peer: String,
    pub tunnel: String,
}

/// This router learned from a response or a peer that an upstream is leaving.
#[derive(Serialize)]
pub(crate) struct UpstreamLeaving<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    /// The kind of call whose response announced it, or `peer`.
    pub via: &'a str,
    /// The request id, if the call was a caller's request.
    pub request: Option<&'a str>,
    /// The peer that reported it; `None` if a response announced it.
    pub peer: Option<String>,
    /// Milliseconds since the announcement arrived at the first router.
    pub age_ms: u64,
}

/// An upstream rejected a call and requested a pause (`Retry-After`), during which this VM sends it no requests.
#[derive(Serialize)]
pub(crate) struct UpstreamPaused<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The length of the pause in milliseconds.
    pub wait_ms: u64,
    /// The kind of call whose response requested the pause.
    pub via: &'a str,
    /// The request id, if the call was a caller's request.
    pub request: Option<&'a str>,
}

/// An upstream started or stopped to state that it is brittle, or changed the number of refusals that it survives.
#[derive(Serialize)]
pub(crate) struct BrittleChanged<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The number of refusals within a second that the upstream survives; `None` if it is not brittle any more.
    pub max_refusals: Option<u32>,
    /// The kind of call whose response contained the change.
    pub via: &'a str,
    /// The request id, if the call was a caller's request.
    pub request: Option<&'a str>,
}

/// A brittle upstream refused a request for lack of room; this router sends it nothing for a while.
#[derive(Serialize)]
pub(crate) struct BrittleFull<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub pause_ms: u64,
    /// The peer that reported the refusal; `None` if this router received it.
    pub peer: Option<String>,
}

/// An upstream started to limit its request rate, changed the limit, or ended it.
#[derive(Serialize)]
pub(crate) struct RateLimitChanged<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The number of requests per second that the upstream accepts from all routers together; `None` if it does not
    /// limit its request rate any more.
    pub rate: Option<f64>,
    /// The rate before the change; `None` if the upstream did not limit its request rate.
    #[serde(rename = "former_rate")]
    pub previous_rate: Option<f64>,
    /// The kind of call whose response contained the change, or `peer`.
    pub via: &'a str,
    /// The request id, if the call was a caller's request.
    pub request: Option<&'a str>,
    /// The peer that reported the change; `None` if a response contained it.
    pub peer: Option<String>,
    /// Milliseconds since the change arrived at the first router.
    pub age_ms: u32,
    /// The router that grants permits for the upstream, according to this router's list of live routers.
    pub limiter: Option<String>,
}

/// A limiter, which is a router that grants permits for upstreams, did not reply. Another router is used in its place.
#[derive(Serialize)]
pub(crate) struct LimiterUnresponsive {
    pub limiter: String,
}
