//! Letting an upstream leave: a mark that routers pass on, without the platform.
//!
//! Which marks hold is decided in `cloverpier_route::LeaveMarks`; they are never taken back.

use crate::app::App;
use crate::config::RouterVersion;
use crate::config::acceptance::ASK_TIMEOUT;
use crate::error::ApiError;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_peer::PeerRequest;
use futures_util::future::join_all;
use salvo::http::StatusCode;
use std::sync::Arc;

/// Marks an upstream to take no new work, at this router and at all that it reaches.
///
/// It needs no platform: routers pass the mark on.
///
/// # Errors
///
/// [`ApiError`] when there is no such upstream.
pub async fn leave_upstream(
    app: &Arc<App>,
    name: &UpstreamName,
) -> Result<Vec<RouterVersion>, ApiError> {
    let mark = lock(&app.view).mark_leaving(name);
    if mark.is_none() {
        let message = format!("no upstream {name}");
        let error = ApiError::not_run(StatusCode::NOT_FOUND, "no_such_upstream", message);
        return Err(error.at("upstream"));
    }
    let marks = lock(&app.view).marks().clone();
    let request = PeerRequest::LeaveMarks { marks };
    let list = app.members();
    let others = list.members.iter().filter(|m| m.id != app.me.id);
    let told = others.map(|m| async {
        let reply = app.peers.call(m.peers_at, &request, ASK_TIMEOUT).await;
        reply.is_err().then(|| RouterVersion {
            vm: m.vm.clone(),
            version: None,
        })
    });
    app.news.notify_one();
    Ok(join_all(told).await.into_iter().flatten().collect())
}
