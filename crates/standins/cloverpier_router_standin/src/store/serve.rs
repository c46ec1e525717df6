//! The connections of the store: reads calls, answers them, and misbehaves.

use super::objects::{StoreCall, StoredObject, Written};
use super::{State, StoreFault, StoreShapes};
use crate::http::{Head, read_body, read_head};
use cloverpier_core::lock;
use cloverpier_net::{TcpListener, TcpStream};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// How often a store that waits looks whether it still does.
const WAITING_PAUSE: Duration = Duration::from_millis(2);

/// What the connections share.
#[derive(Clone)]
pub(super) struct Shared {
    pub shapes: StoreShapes,
    pub state: Arc<Mutex<State>>,
    pub changed: Arc<Notify>,
}

/// A status and a body.
struct Answer(u16, String);

impl Answer {
    fn empty(status: u16) -> Self {
        Self(status, super::objects::NOTHING.to_owned())
    }
}

pub(super) async fn accept(listener: TcpListener, shared: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            // A connection that breaks concerns nobody else.
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let body = read_body(&mut stream, &mut buffer, head.content_length()).await?;
        let Some(body) = body else { return Ok(()) };
        let body = String::from_utf8_lossy(&body);
        let call = (shared.shapes.call)(head.word(0), head.word(1), &body);
        if is_refused(shared, &head) {
            write(&mut stream, shared, Answer::empty(503)).await?;
            continue;
        }
        let is_watch = matches!(call, Some(StoreCall::Watch { .. }));
        let answer = answer(call, shared).await;
        while lock(&shared.state).fault == StoreFault::Waits {
            tokio::time::sleep(WAITING_PAUSE).await;
        }
        // What the store does at the moment of the answer counts, as for a watch.
        let fault = lock(&shared.state).fault;
        match fault {
            StoreFault::None
            | StoreFault::Waits
            | StoreFault::DeafWatches
            | StoreFault::UntoldChanges => {
                write(&mut stream, shared, answer).await?;
            }
            StoreFault::Busy => write(&mut stream, shared, Answer::empty(503)).await?,
            StoreFault::SilentToWatches if !is_watch => write(&mut stream, shared, answer).await?,
            StoreFault::Silent | StoreFault::SilentToWatches => {
                std::future::pending::<()>().await;
            }
            StoreFault::Reset => {
                stream.set_zero_linger()?;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Counts a call; a store that is busy does nothing, so a write is refused before it is done.
fn is_refused(shared: &Shared, head: &Head) -> bool {
    let mut state = lock(&shared.state);
    state.calls += 1;
    state.targets.push(head.word(1).to_owned());
    state.fault == StoreFault::Busy && head.word(0) != "GET"
}

async fn answer(call: Option<StoreCall>, shared: &Shared) -> Answer {
    match call {
        None => Answer::empty(404),
        Some(StoreCall::List {
            kind,
            after,
            is_stale,
        }) => {
            let state = lock(&shared.state);
            let objects = state.read(is_stale);
            let (page, has_more) = objects.page(&kind, after.as_deref(), state.page_limit());
            let revision = state.objects.revision;
            Answer(200, (shared.shapes.list)(&page, revision, has_more))
        }
        Some(StoreCall::Get { kind, name }) => {
            let objects = &lock(&shared.state).objects;
            let object = objects.get(&kind, &name).cloned();
            answer_to_write(shared, object.map_or(Written::Missing, Written::Done))
        }
        Some(StoreCall::Write {
            kind,
            name,
            condition,
            spec,
        }) => {
            let objects = &mut lock(&shared.state).objects;
            let written = objects.write(&kind, &name, condition, spec);
            shared.changed.notify_waiters();
            answer_to_write(shared, written)
        }
        Some(StoreCall::Remove { kind, name }) => {
            let objects = &mut lock(&shared.state).objects;
            let removed = objects.get(&kind, &name).cloned();
            if removed.is_some() {
                objects.remove(&kind, &name);
                shared.changed.notify_waiters();
            }
            answer_to_write(shared, removed.map_or(Written::Missing, Written::Done))
        }
        Some(StoreCall::Watch { kind, after, wait }) => watch(shared, &kind, after, wait).await,
        Some(StoreCall::SetStatus {
            kind,
            name,
            revision,
            status,
        }) => {
            let objects = &mut lock(&shared.state).objects;
            let written = objects.set_status(&kind, &name, revision, status);
            shared.changed.notify_waiters();
            answer_to_write(shared, written)
        }
    }
}

fn answer_to_write(shared: &Shared, written: Written) -> Answer {
    let text = |object: StoredObject| (shared.shapes.object)(&object);
    match written {
        Written::Done(object) => Answer(200, text(object)),
        Written::Conflict(object) => Answer(409, text(object)),
        Written::Missing => Answer::empty(404),
    }
}

async fn watch(shared: &Shared, kind: &str, after: u64, wait: Duration) -> Answer {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let waiting = shared.changed.notified();
        if lock(&shared.state).fault == StoreFault::DeafWatches {
            tokio::time::sleep_until(until).await;
            return no_changes(shared);
        }
        if let Some(found) = changes(shared, kind, after) {
            return found;
        }
        let fault = lock(&shared.state).fault;
        if !matches!(fault, StoreFault::None | StoreFault::UntoldChanges)
            || tokio::time::timeout_at(until, waiting).await.is_err()
        {
            return no_changes(shared);
        }
    }
}

/// The answer to a watch whose wait is over.
fn no_changes(shared: &Shared) -> Answer {
    let revision = lock(&shared.state).objects.revision;
    Answer(200, (shared.shapes.events)(&[], revision))
}

fn changes(shared: &Shared, kind: &str, after: u64) -> Option<Answer> {
    let objects = &lock(&shared.state).objects;
    match objects.changes(kind, after) {
        Err(_) => Some(Answer::empty(410)),
        Ok(newer) if newer.is_empty() => None,
        Ok(newer) => {
            let events = (shared.shapes.events)(&newer, objects.revision);
            Some(Answer(200, events))
        }
    }
}

async fn write(
    stream: &mut TcpStream,
    shared: &Shared,
    Answer(status, body): Answer,
) -> io::Result<()> {
    let era = match lock(&shared.state).era {
        0 => String::new(),
        era => format!("{}: {era}\r\n", shared.shapes.era),
    };
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{era}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await
}
