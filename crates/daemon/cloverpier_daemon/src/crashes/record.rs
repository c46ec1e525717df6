//! Records lost attempts, and asks the hosts of their upstreams whether these ended.
//!
//! Owns nothing; what an answer or its absence proves is decided in `cloverpier_crashes`. Upstreams do not
//! say when they started, so an end is distinguished from the next one of the same upstream by its time.

use crate::app::App;
use cloverpier_config::{ServiceKind, Upstream};
use cloverpier_core::{UpstreamName, hash_of, lock, wall_ms};
use cloverpier_crashes::prelude::*;
use cloverpier_timers::Timers;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// How long a probe waits for the host of an upstream whose connection broke. One without the
/// process refuses within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Records an attempt that was lost at an upstream, and finds out whether that ended. One that was
/// about to leave says nothing: it ends by itself.
pub fn on_lost(
    app: &Arc<App>,
    content: &RequestContent<'_>,
    upstream: &UpstreamName,
    loss: LossCause,
    ran_for: Duration,
) {
    let view = lock(&app.view);
    let known = view.upstream(upstream).cloned();
    let Some(known) = known.filter(|_| view.accepts_work(upstream)) else {
        return;
    };
    drop(view);
    let attempt = LostAttempt {
        content: ContentKey::of(content),
        loss,
        has_completed: false,
        crash_id: CrashId {
            upstream: hash_of(upstream.as_str()),
            time_ms: wall_ms(),
        },
        upstream: ended_upstream(upstream, &known, app.now()),
        ran_for,
    };
    let change = |cases: &mut CrashTracker| cases.on_lost(content, attempt);
    app.crashes.change(change);
    let (app, upstream) = (Arc::clone(app), upstream.clone());
    tokio::spawn(async move { probe(&app, &upstream, &known).await });
}

fn ended_upstream(name: &UpstreamName, upstream: &Upstream, at: Instant) -> UpstreamEvent {
    UpstreamEvent {
        upstream: hash_of(name.as_str()),
        service: upstream.service.clone(),
        data_centre: upstream.data_centre.clone(),
        at,
    }
}

/// Asks an upstream's host whether it has the process.
async fn probe(app: &App, name: &UpstreamName, upstream: &Upstream) {
    let asked = app.now();
    let host = ask(app, upstream).await;
    let now = app.now();
    let ended = ended_upstream(name, upstream, now);
    app.crashes.change(|cases| match host {
        Host::HasProcess => cases.on_response(UpstreamResponse {
            upstream: ended.upstream,
            sent_at: asked,
            received_at: now,
        }),
        Host::HasNone => cases.on_process_gone(ended),
        // It proves nothing; the host is asked again.
        Host::Silent => cases.on_suspected_failure(ended, now),
    });
}

/// Asks the hosts again of which nothing was learned.
pub(super) fn probe_unclear(app: &Arc<App>) {
    let unclear = lock(&app.crashes.cases).upstreams_to_probe(app.now());
    for broken in unclear {
        let view = lock(&app.view);
        let name = view.find_by_name_hash(broken.upstream);
        // Of one that has left the configuration nothing can be learned.
        let Some((name, known)) = name.and_then(|n| Some((n.clone(), view.upstream(&n)?.clone())))
        else {
            continue;
        };
        drop(view);
        let app = Arc::clone(app);
        tokio::spawn(async move { probe(&app, &name, &known).await });
    }
}

/// What a host says of a process at its address.
enum Host {
    HasProcess,
    HasNone,
    Silent,
}

/// An engine has to answer: the host of one that is paused takes connections. Plain services have no
/// question that costs nothing.
async fn ask(app: &App, upstream: &Upstream) -> Host {
    let host = connects(&app.timers, upstream.address).await;
    let config = app.config();
    let service = config.services.get(&upstream.service);
    let is_engine = service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }));
    if !matches!(host, Host::HasProcess) || !is_engine {
        return host;
    }
    match app.engines.engine(upstream.address).load().await {
        Ok(_) => Host::HasProcess,
        // It may have ended since, or be paused; it is asked again.
        Err(_) => Host::Silent,
    }
}

async fn connects(timers: &Timers, address: SocketAddr) -> Host {
    let connecting = timers.timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(_)) => Host::HasProcess,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Host::HasNone,
        Ok(Err(_)) | Err(_) => Host::Silent,
    }
}
