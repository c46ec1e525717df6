//! Tokens on their way to the members that hold their copies.
//!
//! Each peer has one queue of answers with unsent parts. A task sends those of all
//! of them in one batch and takes up the next when the reply is in, so that
//! the number of messages grows with peers, not with answers.

use crate::answers::directory::noted_at;
use crate::answers::live::Live;
use crate::answers::outbox_state::PeerQueue;
use crate::app::App;
use cloverpier_answer::{BatchHeader, TokenBatch};
use cloverpier_core::{MemberId, hash_of, lock, rendezvous_rank};
use cloverpier_member::Member;
use cloverpier_peer::{CopyLocation, PeerReply, PeerRequest};
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Members that hold the copies of one router: few, so that batches are full; several, so that a
/// death spreads its load (docs/DESIGN.md).
const PEERS: usize = 4;
/// A holder that has not answered by then is replaced; the longest pause that its loss costs a
/// caller.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a holder that failed is not chosen again.
const AVOID: Duration = Duration::from_secs(3);
/// How long a member may take to note where a copy is.
const NOTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Answers in one batch at most.
const BATCH: usize = 512;

#[derive(Serialize)]
struct HolderChosen<'a> {
    request: &'a str,
    holder: Option<&'a MemberId>,
}

/// Sends what is new in an answer to its holder, or releases it where there is none to send to.
pub fn send_news(app: &Arc<App>, live: &Arc<Live>) {
    if live.spec.copies == 0 {
        release_uncopied(app, live);
        return;
    }
    let holder = live.look(|s| s.copy.holder().cloned());
    let holder = holder.or_else(|| assign(app, live));
    match holder {
        Some(holder) => enqueue(app, &holder, live),
        None => release_uncopied(app, live),
    }
}

fn release_uncopied(app: &App, live: &Live) {
    let now = app.now();
    live.change(|s| {
        let len = s.answer.len();
        s.answer.on_copied(len);
        if s.answer.finish().is_some() {
            s.answer.on_finish_copied();
        }
    });
    if live.is_ended() {
        live.mark_over(now);
    }
}

/// Chooses a holder for an answer and notifies members of it.
fn assign(app: &Arc<App>, live: &Arc<Live>) -> Option<MemberId> {
    let holder = choose_holder(app, live);
    live.change(|s| s.copy.assign(holder.clone()));
    app.log.info(
        "copy.holder",
        &HolderChosen {
            request: live.key.as_str(),
            holder: holder.as_ref(),
        },
    );
    let holder = holder?;
    tokio::spawn(tell_directory(
        Arc::clone(app),
        CopyLocation {
            key: live.key.clone(),
            holder: holder.clone(),
        },
    ));
    Some(holder)
}

/// One of this router's few holders, by the request's key; other data centres first.
fn choose_holder(app: &App, live: &Live) -> Option<MemberId> {
    let now = app.now();
    let suspected = lock(&app.cluster).suspected(now);
    let list = app.members();
    let failed = lock(&app.answers.outbox.failed).clone();
    let avoided = |m: &Member| {
        let failed = failed.get(&m.id);
        failed.is_some_and(|at| now.saturating_duration_since(*at) < AVOID)
    };
    let able: Vec<Member> = list
        .members
        .iter()
        .filter(|m| m.id != app.me.id && !m.stopping)
        .filter(|m| !suspected.contains(&m.id) && !avoided(m))
        .cloned()
        .collect();
    let far: Vec<Member> = able
        .iter()
        .filter(|m| m.data_centre != app.me.data_centre)
        .cloned()
        .collect();
    let from = if far.is_empty() { able } else { far };
    let mut few = rendezvous_rank(hash_of(app.me.vm.as_str()), &from, |m| m.id.as_str());
    few.truncate(PEERS);
    let few: Vec<Member> = few.into_iter().cloned().collect();
    let first = rendezvous_rank(hash_of(live.key.as_str()), &few, |m| m.id.as_str());
    first.first().map(|m| m.id.clone())
}

async fn tell_directory(app: Arc<App>, note: CopyLocation) {
    let list = app.members();
    for member in noted_at(&list, &note.key) {
        if member == app.me.id {
            let now = app.now();
            lock(&app.answers.directory).note(note.key.clone(), note.holder.clone(), now);
            continue;
        }
        let request = PeerRequest::StoreLocations {
            locations: vec![note.clone()],
        };
        app.ask(&member, &request, NOTE_TIMEOUT).await;
    }
}

fn enqueue(app: &Arc<App>, holder: &MemberId, live: &Arc<Live>) {
    let already = live.change(|s| std::mem::replace(&mut s.queued, true));
    if already {
        return;
    }
    let queue = queue_of(app, holder);
    lock(&queue.waiting).push(Arc::clone(live));
    queue.wake.notify_one();
}

fn queue_of(app: &Arc<App>, holder: &MemberId) -> Arc<PeerQueue> {
    let mut queues = lock(&app.answers.outbox.queues);
    if let Some(queue) = queues.get(holder) {
        return Arc::clone(queue);
    }
    let queue = Arc::new(PeerQueue::default());
    queues.insert(holder.clone(), Arc::clone(&queue));
    tokio::spawn(drain(Arc::clone(app), holder.clone(), Arc::clone(&queue)));
    queue
}

/// Sends batches to one holder until it leaves the list of members.
async fn drain(app: Arc<App>, holder: MemberId, queue: Arc<PeerQueue>) {
    loop {
        queue.wake.notified().await;
        loop {
            app.timers.sleep(app.settings.copy_interval).await;
            let batch: Vec<Arc<Live>> = {
                let mut waiting = lock(&queue.waiting);
                let take = waiting.len().min(BATCH);
                waiting.drain(..take).collect()
            };
            if batch.is_empty() {
                break;
            }
            // One that was given another holder meanwhile is in that one's queue.
            let batch: Vec<Arc<Live>> = batch
                .into_iter()
                .filter(|live| live.look(|s| s.copy.holder() == Some(&holder)))
                .collect();
            send_batch(&app, &holder, batch).await;
        }
        let gone = !app.members().contains(&holder);
        if gone && lock(&queue.waiting).is_empty() {
            lock(&app.answers.outbox.queues).remove(&holder);
            if lock(&queue.waiting).is_empty() {
                return;
            }
        }
    }
}

async fn send_batch(app: &Arc<App>, holder: &MemberId, batch: Vec<Arc<Live>>) {
    if batch.is_empty() {
        return;
    }
    let entries: Vec<TokenBatch> = batch.iter().map(|live| entry_of(live)).collect();
    let request = PeerRequest::Append {
        owner: app.me.id.clone(),
        entries,
    };
    let reply = app.ask(holder, &request, APPEND_TIMEOUT).await;
    let now = app.now();
    match reply {
        Some(PeerReply::Appended(replies)) if replies.len() == batch.len() => {
            for (live, reply) in batch.into_iter().zip(replies) {
                if live.on_append(reply, now) {
                    send_news(app, &live);
                }
            }
        }
        _ => on_holder_failed(app, holder, batch, now),
    }
}

/// A holder that fails is replaced; the new one is given the whole prefix.
fn on_holder_failed(app: &Arc<App>, holder: &MemberId, batch: Vec<Arc<Live>>, now: Instant) {
    lock(&app.answers.outbox.failed).insert(holder.clone(), now);
    app.metrics.count("copy.holder_failed", 1);
    // Those that wait in line would run into the same failure.
    let waiting = std::mem::take(&mut *lock(&queue_of(app, holder).waiting));
    for live in batch.into_iter().chain(waiting) {
        live.change(|s| {
            s.copy.assign(None);
            s.queued = false;
        });
        send_news(app, &live);
    }
}

fn entry_of(live: &Live) -> TokenBatch {
    live.change(|s| {
        s.queued = false;
        let header = BatchHeader {
            body_digest: live.body,
            source: s.source.clone(),
        };
        s.copy.next_batch(&s.answer, &live.key, header)
    })
}
