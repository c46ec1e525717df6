//! Determines which stream a request begins or resumes, by its headers, and how a resumed stream began.
//!
//! [`crate::stream_origins`] looks up the origin of a stream. Owns no state.

use crate::relay_request::RequestedStream;
use crate::request_headers::{header_text, log_ignored_header};
use crate::router::Router;
use crate::stream_origins::lookup::{ResumedStream, find_origin};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::stream_version::lookup::UnknownOrigin;
use hyper::header::HeaderMap;
use std::sync::Arc;

/// The id of the last event that the caller has received of the stream that it resumes; `None` if the caller
/// starts a stream. An id that can't be parsed is logged and ignored, so the stream starts from its first event.
fn last_event(router: &Router, headers: &HeaderMap, id: &str) -> Option<u64> {
    let name = &router.wire_names.headers.last_event;
    let text = header_text(headers, name)?;
    match text.trim().parse() {
        Ok(event) => Some(event),
        Err(_) => {
            log_ignored_header(router, id, name);
            None
        }
    }
}

/// The stream that a request begins or resumes, by its headers.
pub(crate) struct StreamRequest<'a> {
    id: &'a str,
    account: Option<&'a ClientAccount>,
    route: &'a Route,
    /// The id of the request that got the first event, as the caller states it.
    resumes: Option<Arc<str>>,
    /// The last event that the caller has received; `None` if it has received none.
    pub last_event: Option<u64>,
}

impl<'a> StreamRequest<'a> {
    /// Reads the headers of the request `id`.
    pub fn read(
        router: &Router,
        headers: &HeaderMap,
        id: &'a str,
        account: Option<&'a ClientAccount>,
        route: &'a Route,
    ) -> Self {
        Self {
            id,
            account,
            route,
            resumes: resumed_request(router, headers, id),
            last_event: last_event(router, headers, id),
        }
    }

    fn is_resumed(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }

    /// The key of the stream whose first event was sent in the response to the request `id`.
    fn key(&self, id: &str) -> Option<StreamKey> {
        let account = self.account.map_or("", |account| &account.name);
        StreamKey::new(account, id)
    }
}

/// The stream of a request, and the service at which it continues: the one at which it began, if the route still leads
/// there. `service` was picked for the request.
pub(crate) async fn requested_stream(
    router: &Router,
    configuration: &ConfigurationIndex,
    service: Arc<ServiceConfig>,
    requested: StreamRequest<'_>,
) -> (Arc<ServiceConfig>, RequestedStream) {
    if requested.route.retry_rule() != RetryRule::Resumable {
        return (service, RequestedStream::default());
    }
    if requested.is_resumed() {
        return resumed_stream(router, configuration, service, requested).await;
    }
    let key = requested.key(requested.id);
    let stream = RequestedStream {
        key,
        ..RequestedStream::default()
    };
    (service, stream)
}

async fn resumed_stream(
    router: &Router,
    configuration: &ConfigurationIndex,
    service: Arc<ServiceConfig>,
    requested: StreamRequest<'_>,
) -> (Arc<ServiceConfig>, RequestedStream) {
    // Without `resumes` the stream has no key here: the id of this request is not that of the stream.
    let named = requested.resumes.as_deref();
    let mut key = named.and_then(|id| requested.key(id));
    let resumed = ResumedStream {
        request: requested.id,
        resumes: requested.resumes.as_deref(),
        key,
        service: &service.name,
    };
    let found = find_origin(router, resumed).await;
    let mut continues_at = service;
    let origin = match found {
        Ok(origin) => match target_with_key(configuration, requested.route, origin.service) {
            Some(began_at) => {
                continues_at = began_at;
                Some(Ok(origin))
            }
            // The route leads to other services now, and no two services write streams that fit together.
            None => Some(Err(UnknownOrigin::ServiceMoved)),
        },
        // A caller without any event can get another stream from its beginning, which this request begins.
        Err(_) if requested.last_event.is_none() => {
            key = requested.key(requested.id);
            None
        }
        Err(reason) => Some(Err(reason)),
    };
    let stream = RequestedStream {
        key,
        resumes: requested.resumes,
        origin,
    };
    (continues_at, stream)
}

/// The service of this key, if the route leads to it.
fn target_with_key(
    configuration: &ConfigurationIndex,
    route: &Route,
    key: ServiceKey,
) -> Option<Arc<ServiceConfig>> {
    let mut targets = route.targets.iter();
    let target = targets.find(|target| ServiceKey::of(&target.service) == key)?;
    configuration.service(&target.service).cloned()
}

/// The id of the request in whose response the caller received the first event of the stream that it resumes; `None`
/// without the header. A value that is not visible ASCII is logged and ignored.
fn resumed_request(router: &Router, headers: &HeaderMap, id: &str) -> Option<Arc<str>> {
    let name = &router.wire_names.headers.resumed_request;
    let value = headers.get(name)?;
    let Ok(text) = value.to_str() else {
        log_ignored_header(router, id, name);
        return None;
    };
    Some(text.into())
}
