//! News from peers: who acts on something later than this router does.
//!
//! Heartbeats carry versions; whatever a peer has that is newer is fetched from it.

use crate::app::App;
use crate::config;
use crate::crashes;
use crate::members::adopt;
use cloverpier_core::lock;
use cloverpier_peer::{PeerReply, PeerRequest, Versions};
use cloverpier_route::LeaveMarks;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a peer may take to hand out its list of members or its marks.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pulls from a peer whatever it has that is newer.
pub async fn on_versions(app: &Arc<App>, theirs: Versions, peers_at: SocketAddr) {
    let ours = app.versions();
    if theirs.epoch > ours.epoch {
        let reply = app
            .peers
            .call(peers_at, &PeerRequest::PullMembers, PULL_TIMEOUT)
            .await;
        if let Ok(PeerReply::Members(list)) = reply {
            adopt(app, &list, "peer");
        }
    }
    if theirs.config > ours.config {
        config::pull_from_peer(app, peers_at).await;
    }
    if theirs.marks != ours.marks {
        pull_marks(app, peers_at).await;
    }
    // One that knows nothing, or is of a release without it, learns it by its own question or never.
    if theirs.crashes != ours.crashes {
        exchange_crashes(app, peers_at).await;
    }
}

/// Exchanges what is known of contents that ended upstreams with a peer.
async fn exchange_crashes(app: &App, peers_at: SocketAddr) {
    let request = PeerRequest::CrashReports {
        reports: app.crashes.reports(app.now()),
    };
    let reply = app.peers.call(peers_at, &request, PULL_TIMEOUT).await;
    if let Ok(PeerReply::CrashReports(reports)) = reply {
        crashes::merge(app, &reports, &peers_at.to_string());
    }
}

/// Exchanges marks to leave with a peer.
pub async fn pull_marks(app: &App, peers_at: SocketAddr) {
    let marks = lock(&app.view).marks().clone();
    let request = PeerRequest::LeaveMarks { marks };
    let reply = app.peers.call(peers_at, &request, PULL_TIMEOUT).await;
    if let Ok(PeerReply::LeaveMarks(marks)) = reply {
        merge(app, &marks);
    }
}

/// Takes marks to leave; passes them on when they are new.
pub fn push_marks(app: &App, marks: &LeaveMarks) -> LeaveMarks {
    merge(app, marks);
    lock(&app.view).marks().clone()
}

fn merge(app: &App, marks: &LeaveMarks) {
    let news = lock(&app.view).merge_marks(marks);
    if news {
        app.log.info("upstreams.leaving", marks);
        app.news.notify_one();
    }
}
