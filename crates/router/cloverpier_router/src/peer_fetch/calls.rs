//! One fetch from a peer: sends the request, decodes the reply and applies it.
//!
//! [`crate::peer_serve`] serves the requests, and [`crate::peer_messages`] defines the replies. Owns no state.

use crate::configuration_copies::{ConfigurationWithCopies, CopyEncoding};
use crate::http_client::{CallError, DownloadTimeouts, HttpClient, HttpResponse};
use crate::peer_messages::{CodecError, UpstreamsReply, decode, decompress};
use crate::peer_serve::{
    CONFIGURATION_PATH, GZIP, UPSTREAMS_PATH, UPSTREAMS_WITH_STARTS, encoding_of, retry_delay,
};
use crate::rollouts;
use crate::router::Router;
use crate::source::{EntryChange, UpstreamChanges, UpstreamList};
use crate::store_events::apply_configuration;
use crate::store_view::WatchedData;
use crate::upstream_updates::{apply_upstream_changes, apply_upstream_list};
use cloverpier_router_policy::version_fetch::STALL_TIMEOUT;
use hyper::StatusCode;
use hyper::header::{ACCEPT, ACCEPT_ENCODING, HeaderMap, HeaderValue};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// The fetch of a newer version from a peer failed.
#[derive(Debug, Snafu)]
pub(super) enum FetchError {
    /// The HTTP call failed.
    #[snafu(display("{source}"))]
    Call { source: CallError },
    /// The body of the peer's reply can't be decoded.
    #[snafu(display("{source}"))]
    Codec { source: CodecError },
    /// The peer refused the request, because its link is busy with other copies, and accepts requests again
    /// after `wait`.
    #[snafu(display("the peer is busy for {wait:?}"))]
    Busy { wait: Duration },
    /// The peer replied with an unexpected status, such as 404 from a router that has no version yet.
    #[snafu(display("the peer replied with status {status}"))]
    Status { status: StatusCode },
    /// The fetched version is not newer than the version in force here.
    #[snafu(display("the version from the peer is not newer"))]
    NotNewer,
}

/// The version of the configuration, or the revision of the upstreams, in force at a router.
pub(super) fn current_version(router: &Router, watched: WatchedData) -> u64 {
    match watched {
        WatchedData::Configuration => router.store.configuration_version(),
        WatchedData::Upstreams => router.upstreams.borrow().revision(),
    }
}

/// Fetches and applies the configuration; returns the size of the reply's body in bytes.
pub(super) async fn fetch_configuration(
    router: &Router,
    client: &HttpClient,
    peer: SocketAddr,
) -> Result<usize, FetchError> {
    let mut headers = HeaderMap::new();
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
    let response = get(client, CONFIGURATION_PATH, headers).await?;
    let bytes = response.body.len();
    let encoding = encoding_of(&response.headers);
    let configuration = ConfigurationWithCopies::from_copy(response.body, encoding).await;
    let configuration = configuration.context(CodecSnafu)?;
    apply_configuration(router, configuration, &format!("peer {peer}"));
    Ok(bytes)
}

/// Fetches and applies changes of upstreams, or the whole list if this router has none; returns the size
/// of the reply's body in bytes.
pub(super) async fn fetch_upstreams(
    router: &Router,
    client: &HttpClient,
    peer: SocketAddr,
) -> Result<usize, FetchError> {
    let path = if router.store.has_upstreams() {
        let revision = router.upstreams.borrow().revision();
        format!("{UPSTREAMS_PATH}?after={revision}")
    } else {
        UPSTREAMS_PATH.to_owned()
    };
    let mut headers = HeaderMap::new();
    let form = HeaderValue::from_static(UPSTREAMS_WITH_STARTS);
    headers.insert(ACCEPT, form);
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(GZIP));
    let response = get(client, &path, headers).await?;
    let reply = match encoding_of(&response.headers) {
        CopyEncoding::Plain => decode(&response.body),
        CopyEncoding::Compressed => decompress(&response.body).and_then(|b| decode(&b)),
    };
    let reply = reply.context(CodecSnafu)?;
    apply_upstreams_reply(router, reply, &format!("peer {peer}"));
    Ok(response.body.len())
}

async fn get(
    client: &HttpClient,
    path: &str,
    headers: HeaderMap,
) -> Result<HttpResponse, FetchError> {
    let bounds = DownloadTimeouts {
        head: STALL_TIMEOUT,
        stall: STALL_TIMEOUT,
    };
    let never = std::future::pending();
    let response = client.download(path, headers, bounds, never).await;
    let response = response.context(CallSnafu)?;
    match response.status {
        StatusCode::OK => Ok(response),
        StatusCode::SERVICE_UNAVAILABLE => BusySnafu {
            wait: retry_delay(&response.headers),
        }
        .fail(),
        status => StatusSnafu { status }.fail(),
    }
}

fn apply_upstreams_reply(router: &Router, reply: UpstreamsReply, from: &str) {
    match reply {
        UpstreamsReply::List {
            upstreams,
            revision,
            rollouts,
        } => {
            rollouts::apply_views(router, rollouts, from, router.now());
            let list = UpstreamList {
                upstreams,
                unreadable: Vec::new(),
                revision,
            };
            apply_upstream_list(router, list, from);
        }
        UpstreamsReply::Changes {
            changes,
            revision,
            rollouts,
        } => {
            rollouts::apply_views(router, rollouts, from, router.now());
            let changes = UpstreamChanges {
                changes: changes.into_iter().map(EntryChange::Readable).collect(),
                revision,
            };
            apply_upstream_changes(router, changes, from);
        }
    }
}
