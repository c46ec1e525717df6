//! The port for peers and operators.
//!
//! Checks the peers' secret, decodes a request and hands it to the state machine that it
//! concerns; each request has one function here. Owns nothing.

use crate::app::App;
use crate::crashes;
use crate::members;
use crate::web::{app_of, operators, serve};
use cloverpier_answer::TokenBatch;
use cloverpier_core::{MemberId, RequestKey, lock, same_secret};
use cloverpier_member::Member;
use cloverpier_peer::{
    CopyLocation, MAX_MESSAGE, PEER_HEADER, PeerReply, PeerRequest, Versions, decode, encode,
};
use cloverpier_record::{ClaimId, Outcome, Slot};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a silent member may take to answer a probe for another one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A reply to a peer could not be written as a message.
#[derive(Serialize)]
struct Unanswered {
    error: String,
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    let router = Router::new()
        .hoop(salvo::affix_state::inject(Arc::clone(app)))
        .push(Router::with_path("peer").post(peer))
        .push(Router::with_path("healthz").get(health))
        .push(operators::router());
    let listen = app.settings.peers_listen;
    tokio::spawn(serve(Arc::clone(app), listen, router));
}

#[handler]
async fn health(depot: &mut Depot, res: &mut Response) {
    let ready = app_of(depot).has_learned();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    res.status_code(status);
}

#[handler]
async fn peer(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    // No header is no secret, which is never the right one.
    let secret = req.header::<String>(PEER_HEADER).unwrap_or_default();
    if !same_secret(&secret, app.settings.peer_secret.reveal()) {
        res.status_code(StatusCode::UNAUTHORIZED);
        return;
    }
    let message = req.payload_with_max_size(MAX_MESSAGE).await;
    // The sender gets a 400, and treats it as a call that failed.
    let request = message.ok().and_then(|bytes| decode(bytes).ok());
    let Some(request) = request else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let reply = answer(&app, request).await;
    match encode(&reply) {
        Ok(bytes) => {
            res.status_code(StatusCode::OK);
            // Writing to a body that was just made can't fail.
            let _ = res.write_body(bytes);
        }
        Err(error) => {
            app.log.warn(
                "peer.unanswered",
                &Unanswered {
                    error: error.to_string(),
                },
            );
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

async fn answer(app: &Arc<App>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Heartbeat { versions } => on_heartbeat(app, versions),
        PeerRequest::Join { member } => on_join(app, member),
        PeerRequest::RequestQuota {
            account,
            need,
            want,
        } => PeerReply::QuotaGrant(app.admission.lend(app, &account, need, want)),
        PeerRequest::Probe { peers_at } => on_probe(app, peers_at).await,
        PeerRequest::Append { owner, entries } => on_append(app, &owner, entries),
        PeerRequest::Seal { key, term, owner } => on_seal(app, &key, term, &owner),
        PeerRequest::StoreLocations { locations } => on_note(app, locations),
        PeerRequest::Locate { key } => on_locate(app, &key),
        PeerRequest::Claim {
            epoch,
            key,
            body,
            claim,
        } => on_claim(app, epoch, &key, body, &claim),
        PeerRequest::RecordOutcome {
            key,
            claim,
            outcome,
        } => on_settle(app, &key, &claim, outcome),
        PeerRequest::Release { key, claim } => on_release(app, &key, &claim),
        PeerRequest::Sync { slot, level, epoch } => on_sync(app, slot, level, epoch),
        PeerRequest::PullMembers => PeerReply::Members((*app.members()).clone()),
        PeerRequest::PullRoot => PeerReply::Root(lock(&app.applied).root().clone()),
        PeerRequest::PullParts { digests } => PeerReply::Parts(lock(&app.applied).parts(&digests)),
        PeerRequest::CrashReports { reports } => {
            crashes::merge(app, &reports, "a peer");
            PeerReply::CrashReports(app.crashes.reports(app.now()))
        }
        PeerRequest::LeaveMarks { marks } => {
            PeerReply::LeaveMarks(members::push_marks(app, &marks))
        }
    }
}

fn on_join(app: &App, member: Member) -> PeerReply {
    lock(&app.cluster).on_join_asked(member);
    PeerReply::Acknowledged
}

fn on_append(app: &App, owner: &MemberId, entries: Vec<TokenBatch>) -> PeerReply {
    let now = app.now();
    let mut copies = lock(&app.answers.copies);
    let replies = entries.into_iter().map(|e| copies.append(owner, e, now));
    PeerReply::Appended(replies.collect())
}

fn on_seal(app: &App, key: &RequestKey, term: u64, owner: &MemberId) -> PeerReply {
    let mut copies = lock(&app.answers.copies);
    PeerReply::Seal(copies.seal(key, term, owner, app.now()))
}

fn on_note(app: &App, notes: Vec<CopyLocation>) -> PeerReply {
    let now = app.now();
    let mut directory = lock(&app.answers.directory);
    for note in notes {
        directory.note(note.key, note.holder, now);
    }
    PeerReply::Acknowledged
}

/// Where a copy is: here, or where the directory says.
fn on_locate(app: &App, key: &RequestKey) -> PeerReply {
    let is_here = lock(&app.answers.copies).holds(key);
    let holder = if is_here {
        Some(app.me.id.clone())
    } else {
        lock(&app.answers.directory).holder(key)
    };
    PeerReply::Located { holder }
}

fn on_claim(app: &App, epoch: u64, key: &RequestKey, body: u64, claim: &ClaimId) -> PeerReply {
    let now = app.now();
    let mut records = lock(&app.records);
    PeerReply::Claim(records.on_claim(epoch, key, body, claim, now))
}

fn on_settle(app: &App, key: &RequestKey, claim: &ClaimId, outcome: Outcome) -> PeerReply {
    lock(&app.records).on_outcome(key, claim, outcome);
    PeerReply::Acknowledged
}

fn on_release(app: &App, key: &RequestKey, claim: &ClaimId) -> PeerReply {
    lock(&app.records).on_release(key, claim);
    PeerReply::Acknowledged
}

fn on_sync(app: &App, slot: Slot, level: u64, epoch: u64) -> PeerReply {
    let now = app.now();
    PeerReply::Sync(lock(&app.records).on_sync(slot, level, epoch, now))
}

fn on_heartbeat(app: &Arc<App>, versions: Versions) -> PeerReply {
    let guests = {
        let mut cluster = lock(&app.cluster);
        cluster.on_heartbeat(&versions.member, versions.peers_at, app.now());
        cluster.guests(app.now())
    };
    let peers_at = versions.peers_at;
    let pulls = Arc::clone(app);
    tokio::spawn(async move { members::on_versions(&pulls, versions, peers_at).await });
    PeerReply::Heartbeat {
        versions: app.versions(),
        guests,
    }
}

/// Tries to reach a member that another one finds silent.
async fn on_probe(app: &App, peers_at: SocketAddr) -> PeerReply {
    let request = PeerRequest::Heartbeat {
        versions: app.versions(),
    };
    let reply = app.peers.call(peers_at, &request, PROBE_TIMEOUT).await;
    PeerReply::Probed {
        reached: reply.is_ok(),
    }
}
