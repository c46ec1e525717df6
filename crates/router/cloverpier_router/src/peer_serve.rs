//! The HTTP endpoints for other routers, from which they fetch the configuration and the upstreams.
//!
//! Owns the HTTP protocol between the endpoints and [`crate::peer_fetch`]: paths, media types, encodings, and
//! the header with the time after which a refused peer sends its request again.
//! `cloverpier_router_policy::version_serving` decides whether a copy is sent now, and
//! [`crate::peer_messages`] defines the bodies.

use crate::background::run_in_background;
use crate::body::ResponseBody;
use crate::configuration_copies::CopyEncoding;
use crate::decision_log::{VersionServed, log_named_event};
use crate::peer_messages::{CodecError, UpstreamsReply, compress, encode};
use crate::responses::{ServerResponse, error_response, set_retry_after};
use crate::router::Router;
use crate::store_view::WatchedData;
use crate::tunnel::TUNNEL_PATH;
use crate::tunnel::serve::serve_tunnel;
use bytes::Bytes;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::version_serving::{CopyStep, LinkRate};
use hyper::body::Incoming;
use hyper::header::{
    ACCEPT, ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue, RETRY_AFTER,
};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// The path of the configuration, part of the protocol between routers.
pub(crate) const CONFIGURATION_PATH: &str = "/versions/catalog";
/// The path of the list of upstreams, part of the protocol between routers. The query `after=REVISION`
/// requests only the changes since that revision.
pub(crate) const UPSTREAMS_PATH: &str = "/versions/fleet";
/// The content encoding of compressed copies. A peer whose request does not accept it receives an
/// uncompressed copy, and a peer may send one although the request accepts it. Releases without compression
/// do both.
pub(crate) const GZIP: &str = "gzip";
/// The media type for upstreams with their software versions and start times. A peer whose request does not
/// accept it is of a release that can't decode these fields, and receives upstreams without them.
pub(crate) const UPSTREAMS_WITH_STARTS: &str = "application/msgpack;starts=1";
/// When a refused peer sends its request again if the refusal contains no readable time.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves a peer's request for a tunnel, the configuration or the upstreams.
pub(crate) async fn serve_peer(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    if request.uri().path() == TUNNEL_PATH {
        return serve_tunnel(router, request).await;
    }
    serve_version(router, request).await
}

/// Serves a peer's request for the configuration or the upstreams. The status is 404 if this router has
/// received none yet, if the path is unknown, or if the reply can't be encoded.
async fn serve_version(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    let served = match request.uri().path() {
        CONFIGURATION_PATH => configuration_reply(&router, request.headers()).await,
        UPSTREAMS_PATH if router.store.has_upstreams() => {
            upstreams_reply(&router, &request).await.map(Some)
        }
        _ => Ok(None),
    };
    served
        .unwrap_or_else(|error| {
            log_named_event(&router.log, "peer.unsent", "peers", &error.to_string());
            None
        })
        .unwrap_or_else(|| error_response(StatusCode::NOT_FOUND, "no such version"))
}

/// The response with a copy of the configuration, or a refusal with the time after which the peer should send
/// its request again. `None` if this router has no configuration yet.
async fn configuration_reply(
    router: &Router,
    headers: &HeaderMap,
) -> Result<Option<ServerResponse>, CodecError> {
    let Some(configuration) = router.store.configuration_with_copies() else {
        return Ok(None);
    };
    let encoding = accepted_encoding(headers);
    let bytes = configuration.copy(encoding).await?;
    if let Some(refusal) = pacing_refusal(router, bytes.len()) {
        return Ok(Some(refusal));
    }
    let line = VersionServed {
        what: WatchedData::Configuration.name(),
        version: configuration.index().version(),
        bytes: bytes.len(),
    };
    router.log.info("version.served", &line);
    let mut reply = bytes_reply(router, bytes);
    set_encoding(&mut reply, encoding);
    Ok(Some(reply))
}

/// The response with changes of upstreams or with the whole list, or a refusal with the time after which the
/// peer should send its request again. A few changes are sent at once, without compression and pacing.
async fn upstreams_reply(
    router: &Router,
    request: &Request<Incoming>,
) -> Result<ServerResponse, CodecError> {
    let form = accepted_form(request.headers());
    let after = requested_after(request);
    let encoding = accepted_encoding(request.headers());
    let changes = after.and_then(|after| router.upstreams.borrow().changes_after(after));
    let bytes = match changes {
        Some(changes) if changes.len() <= MAX_UNPACED_CHANGES => {
            let bytes = encode(&changes_reply(router, changes, form))?;
            return Ok(bytes_reply(router, bytes.into()));
        }
        Some(changes) => {
            let reply = changes_reply(router, changes, form);
            encode_reply(reply, encoding).await?
        }
        None => list_copy(router, form, encoding, after).await?,
    };
    if let Some(refusal) = pacing_refusal(router, bytes.len()) {
        return Ok(refusal);
    }
    let mut reply = bytes_reply(router, bytes);
    set_encoding(&mut reply, encoding);
    Ok(reply)
}

/// Encodes a reply, on a background thread if it is long.
async fn encode_reply(reply: UpstreamsReply, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
    let entries = match &reply {
        UpstreamsReply::List { upstreams, .. } => upstreams.len(),
        UpstreamsReply::Changes { changes, .. } => changes.len(),
    };
    let write = move || {
        let plain = encode(&reply)?;
        match encoding {
            CopyEncoding::Plain => Ok(plain.into()),
            CopyEncoding::Compressed => compress(&plain),
        }
    };
    run_in_background(entries * ESTIMATED_UPSTREAM_BYTES, write).await
}

/// The encoded list of upstreams, newer than the revision `after`. All peers that request it within a second receive the
/// same copy, unless it is too old for one of them.
async fn list_copy(
    router: &Router,
    form: UpstreamsForm,
    encoding: CopyEncoding,
    after: Option<u64>,
) -> Result<Bytes, CodecError> {
    let key = (form == UpstreamsForm::WithStarts, encoding);
    let now = router.now();
    if let Some(bytes) = router.list_copies.borrow().get(key, after, now) {
        return Ok(bytes);
    }
    let revision = router.upstreams.borrow().revision();
    let bytes = encode_reply(list_reply(router, form), encoding).await?;
    let mut copies = router.list_copies.borrow_mut();
    copies.put(key, bytes.clone(), revision, now);
    Ok(bytes)
}

/// The refusal of a copy of this many bytes if the link is still busy with earlier copies; `None` if the copy
/// may be sent, which is then recorded.
fn pacing_refusal(router: &Router, bytes: usize) -> Option<ServerResponse> {
    let link = LinkRate::from_mbps(router.settings().link_mbps);
    let mut pacing = router.copy_pacing.borrow_mut();
    let CopyStep::Refuse(wait) = pacing.step(bytes, link, router.now()) else {
        return None;
    };
    let mut reply = error_response(StatusCode::SERVICE_UNAVAILABLE, "other copies come first");
    set_retry_after(&mut reply, wait);
    Some(reply)
}

fn set_encoding(reply: &mut ServerResponse, encoding: CopyEncoding) {
    if encoding == CopyEncoding::Compressed {
        let gzip = HeaderValue::from_static(GZIP);
        reply.headers_mut().insert(CONTENT_ENCODING, gzip);
    }
}

fn bytes_reply(router: &Router, bytes: Bytes) -> ServerResponse {
    router.metrics.version_bytes.inc_by(bytes.len() as u64);
    Response::new(ResponseBody::buffered(bytes))
}

/// The encoding of the response to a peer, as the headers of its request allow.
fn accepted_encoding(headers: &HeaderMap) -> CopyEncoding {
    match headers.get(ACCEPT_ENCODING) {
        Some(accepted) if accepted == GZIP => CopyEncoding::Compressed,
        _ => CopyEncoding::Plain,
    }
}

/// The encoding of a peer's response, by its headers.
pub(crate) fn encoding_of(headers: &HeaderMap) -> CopyEncoding {
    match headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == GZIP => CopyEncoding::Compressed,
        _ => CopyEncoding::Plain,
    }
}

/// The time after which a refused peer should send its request again, by the headers of the refusal.
pub(crate) fn retry_delay(headers: &HeaderMap) -> Duration {
    // Without a readable time, the request is repeated after a default delay instead of failing.
    read_seconds(headers.get(RETRY_AFTER)).unwrap_or(DEFAULT_RETRY_DELAY)
}

/// Reads a header that contains a decimal number of seconds; `None` if it is missing or not such a number.
fn read_seconds(header: Option<&HeaderValue>) -> Option<Duration> {
    // Only routers write this header, so an HTTP date, which `Retry-After` also allows, is not expected.
    let seconds = header?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The revision after which a peer requests changes; `None` if it requests the whole list or the revision is
/// unreadable.
fn requested_after(request: &Request<Incoming>) -> Option<u64> {
    let query = request.uri().query()?;
    query.strip_prefix("after=")?.parse().ok()
}

/// Approximate size in bytes of an upstream in a copy of the list, which decides whether a reply is encoded
/// on a background thread.
const ESTIMATED_UPSTREAM_BYTES: usize = 100;
/// Maximum number of changes that are sent without compression and pacing. Compressing so few takes as long
/// as sending them.
const MAX_UNPACED_CHANGES: usize = 20;

/// Whether upstreams are encoded with software versions and start times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamsForm {
    WithStarts,
    /// For peers of releases that can't decode these fields; also without orders of roll-outs.
    WithoutStarts,
}

fn accepted_form(headers: &HeaderMap) -> UpstreamsForm {
    match headers.get(ACCEPT) {
        Some(accepted) if accepted == UPSTREAMS_WITH_STARTS => UpstreamsForm::WithStarts,
        _ => UpstreamsForm::WithoutStarts,
    }
}

impl UpstreamsForm {
    fn upstream(self, upstream: Upstream) -> Upstream {
        match self {
            Self::WithStarts => upstream,
            Self::WithoutStarts => upstream.without_start(),
        }
    }

    fn rollouts(self, router: &Router) -> Vec<RolloutView> {
        match self {
            Self::WithStarts => router.rollouts.views(),
            Self::WithoutStarts => Vec::new(),
        }
    }

    fn change(self, change: UpstreamChange) -> UpstreamChange {
        match change {
            UpstreamChange::Listed(upstream) => UpstreamChange::Listed(self.upstream(upstream)),
            UpstreamChange::Gone(name) => UpstreamChange::Gone(name),
        }
    }
}

fn changes_reply(
    router: &Router,
    changes: Vec<UpstreamChange>,
    form: UpstreamsForm,
) -> UpstreamsReply {
    UpstreamsReply::Changes {
        changes: changes.into_iter().map(|c| form.change(c)).collect(),
        revision: router.upstreams.borrow().revision(),
        rollouts: form.rollouts(router),
    }
}

fn list_reply(router: &Router, form: UpstreamsForm) -> UpstreamsReply {
    let table = router.upstreams.borrow();
    let listed = table.listed().into_iter();
    UpstreamsReply::List {
        upstreams: listed.map(|u| form.upstream(u)).collect(),
        revision: table.revision(),
        rollouts: form.rollouts(router),
    }
}
