//! Configuration and upstreams, handed to other routers over HTTP.
//!
//! Owns the words of that exchange, for [`crate::peer_fetch`] too: paths, the encoding of a
//! copy, the time after which a refused peer asks again. Whether a copy is handed out now is
//! decided in `cloverpier_router_policy::version_serving`; the shapes are
//! [`crate::peer_messages`]'s.

use crate::background::run_in_background;
use crate::body::ResponseBody;
use crate::configuration_copies::CopyEncoding;
use crate::decision_log::{VersionServed, log_named_event};
use crate::peer_messages::{CodecError, UpstreamsReply, compress, encode};
use crate::responses::{ServerResponse, error_response, set_retry_after};
use crate::router::Router;
use crate::store_view::Watched;
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

/// Paths at a peer; they are on the wire.
pub(crate) const CONFIGURATION_PATH: &str = "/versions/catalog";
/// The path of the list of upstreams.
pub(crate) const UPSTREAMS_PATH: &str = "/versions/fleet";
/// The encoding of compressed copies. A peer that asks without it gets a plain one, and one
/// that does not know it answers with a plain one: releases before compression do both.
pub(crate) const GZIP: &str = "gzip";
/// The form of upstreams that say which version of their software they run and when they started.
/// A peer that asks without it, of a release that cannot read it, gets the form without.
pub(crate) const UPSTREAMS_WITH_STARTS: &str = "application/msgpack;starts=1";
/// When a refused peer asks again if the answer does not say.
const DEFAULT_WAIT: Duration = Duration::from_millis(100);

/// Hands versions to peers.
pub(crate) async fn on_peer(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    let served = match request.uri().path() {
        CONFIGURATION_PATH => configuration_reply(&router, request.headers()).await,
        UPSTREAMS_PATH if router.store.knows_upstreams() => {
            upstreams_answer(&router, &request).await.map(Some)
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

/// A copy of the configuration, or when to ask again; `None` before the first one is known.
async fn configuration_reply(
    router: &Router,
    headers: &HeaderMap,
) -> Result<Option<ServerResponse>, CodecError> {
    let Some(held) = router.store.held_configuration() else {
        return Ok(None);
    };
    let encoding = accepted_encoding(headers);
    let bytes = held.copy(encoding).await?;
    if let Some(refusal) = paced(router, bytes.len()) {
        return Ok(Some(refusal));
    }
    let line = VersionServed {
        what: Watched::Configuration.name(),
        version: held.configuration().version(),
        bytes: bytes.len(),
    };
    router.log.info("version.served", &line);
    let mut reply = bytes_reply(router, bytes);
    set_encoding(&mut reply, encoding);
    Ok(Some(reply))
}

/// Changes of upstreams, or a copy of the whole list, or when to ask again for one.
async fn upstreams_answer(
    router: &Router,
    request: &Request<Incoming>,
) -> Result<ServerResponse, CodecError> {
    let form = accepted_form(request.headers());
    let after = asked_after(request);
    let encoding = accepted_encoding(request.headers());
    let changes = after.and_then(|after| router.upstreams.borrow().changes_after(after));
    let bytes = match changes {
        Some(changes) if changes.len() <= FEW_CHANGES => {
            let bytes = encode(&changes_reply(router, changes, form))?;
            return Ok(bytes_reply(router, bytes.into()));
        }
        Some(changes) => {
            let reply = changes_reply(router, changes, form);
            write_reply(reply, encoding).await?
        }
        None => list_copy(router, form, encoding).await?,
    };
    if let Some(refusal) = paced(router, bytes.len()) {
        return Ok(refusal);
    }
    let mut reply = bytes_reply(router, bytes);
    set_encoding(&mut reply, encoding);
    Ok(reply)
}

/// Writes a reply in an encoding, beside the thread that serves where it is long.
async fn write_reply(reply: UpstreamsReply, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
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
    run_in_background(entries * UPSTREAM_BYTES, write).await
}

/// The whole list in the bytes in which peers get it: written once for all that ask about the same time.
async fn list_copy(
    router: &Router,
    form: UpstreamsForm,
    encoding: CopyEncoding,
) -> Result<Bytes, CodecError> {
    let key = (form == UpstreamsForm::WithStarts, encoding);
    let now = router.now();
    if let Some(bytes) = router.list_copies.borrow().get(key, now) {
        return Ok(bytes);
    }
    let bytes = write_reply(list_reply(router, form), encoding).await?;
    router.list_copies.borrow_mut().put(key, bytes.clone(), now);
    Ok(bytes)
}

/// The refusal of a copy that would come before the link has carried the others.
fn paced(router: &Router, bytes: usize) -> Option<ServerResponse> {
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

/// The encoding in which a peer may be answered.
fn accepted_encoding(headers: &HeaderMap) -> CopyEncoding {
    match headers.get(ACCEPT_ENCODING) {
        Some(accepted) if accepted == GZIP => CopyEncoding::Compressed,
        _ => CopyEncoding::Plain,
    }
}

/// The encoding of a peer's answer.
pub(crate) fn encoding_of(headers: &HeaderMap) -> CopyEncoding {
    match headers.get(CONTENT_ENCODING) {
        Some(encoding) if encoding == GZIP => CopyEncoding::Compressed,
        _ => CopyEncoding::Plain,
    }
}

/// When a refused peer is to ask again.
pub(crate) fn wait_of(headers: &HeaderMap) -> Duration {
    // A peer that does not say when, or says something unreadable, is asked again after a while.
    read_seconds(headers.get(RETRY_AFTER)).unwrap_or(DEFAULT_WAIT)
}

/// A header in seconds; `None` where it is missing or no time.
fn read_seconds(header: Option<&HeaderValue>) -> Option<Duration> {
    // Its writer is a router, so nothing but a time is expected here.
    let seconds = header?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The revision after which changes are asked for; without a readable one, the whole list is.
fn asked_after(request: &Request<Incoming>) -> Option<u64> {
    let query = request.uri().query()?;
    query.strip_prefix("after=")?.parse().ok()
}

/// Bytes that an upstream takes in a copy of the list, about.
const UPSTREAM_BYTES: usize = 100;
/// So many changes are as quickly sent as they are compressed.
const FEW_CHANGES: usize = 20;

/// How upstreams are written for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamsForm {
    WithStarts,
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
