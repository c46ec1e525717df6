//! The port for peers and operators.

use crate::app::App;
use crate::members;
use crate::web::{app_of, operators, serve};
use cloverpier_core::{lock, same_secret};
use cloverpier_peer::{PEER_HEADER, PeerReply, PeerRequest, Versions, decode, encode};
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The largest message of a peer, in bytes: more than a configuration of 35,000 accounts (7 MB,
/// docs/CAPACITY.md).
const MAX_MESSAGE: usize = 32 << 20;
/// How long a silent member may take to answer a probe for another one. Chosen, not measured.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

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
    let secret = req.header::<String>(PEER_HEADER).unwrap_or_default();
    if !same_secret(&secret, app.settings.peer_secret.reveal()) {
        res.status_code(StatusCode::UNAUTHORIZED);
        return;
    }
    let message = req.payload_with_max_size(MAX_MESSAGE).await;
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
        Err(_) => {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

async fn answer(app: &Arc<App>, request: PeerRequest) -> PeerReply {
    let now = app.now();
    match request {
        PeerRequest::Heartbeat { versions } => on_heartbeat(app, versions),
        PeerRequest::Join { member } => {
            lock(&app.cluster).on_join_asked(member);
            PeerReply::Done
        }
        PeerRequest::Borrow {
            account,
            need,
            want,
        } => PeerReply::Loan(app.admission.lend(app, &account, need, want)),
        PeerRequest::Probe { peers_at } => PeerReply::Probed {
            reached: probe(app, peers_at).await,
        },
        PeerRequest::Append { owner, entries } => {
            let mut copies = lock(&app.answers.copies);
            let replies = entries.into_iter().map(|e| copies.append(&owner, e, now));
            PeerReply::Appended(replies.collect())
        }
        PeerRequest::Seal { key, term, owner } => {
            let mut copies = lock(&app.answers.copies);
            PeerReply::Seal(copies.seal(&key, term, &owner, now))
        }
        PeerRequest::Note { notes } => {
            let mut directory = lock(&app.answers.directory);
            for note in notes {
                directory.note(note.key, note.holder, now);
            }
            PeerReply::Done
        }
        PeerRequest::Locate { key } => {
            let holds = lock(&app.answers.copies).holds(&key);
            let noted = lock(&app.answers.directory).holder(&key);
            let holder = if holds {
                Some(app.me.id.clone())
            } else {
                noted
            };
            PeerReply::Located { holder }
        }
        PeerRequest::Claim {
            epoch,
            key,
            body,
            claim,
        } => {
            let mut records = lock(&app.records);
            PeerReply::Claim(records.on_claim(epoch, &key, body, &claim, now))
        }
        PeerRequest::Settle {
            key,
            claim,
            outcome,
        } => {
            lock(&app.records).on_outcome(&key, &claim, outcome);
            PeerReply::Done
        }
        PeerRequest::Release { key, claim } => {
            lock(&app.records).on_release(&key, &claim);
            PeerReply::Done
        }
        PeerRequest::Sync { slot, level, epoch } => {
            PeerReply::Sync(lock(&app.records).on_sync(slot, level, epoch, now))
        }
        PeerRequest::PullMembers => PeerReply::Members((*app.members()).clone()),
        PeerRequest::PullRoot => PeerReply::Root(lock(&app.applied).root().clone()),
        PeerRequest::PullParts { digests } => PeerReply::Parts(lock(&app.applied).parts(&digests)),
        PeerRequest::Marks { marks } => PeerReply::Marks(members::push_marks(app, &marks)),
    }
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
    PeerReply::Here {
        versions: app.versions(),
        guests,
    }
}

async fn probe(app: &App, peers_at: SocketAddr) -> bool {
    let request = PeerRequest::Heartbeat {
        versions: app.versions(),
    };
    app.peers
        .call(peers_at, &request, PROBE_TIMEOUT)
        .await
        .is_ok()
}
