//! Answers: running generations, copying their tokens, taking them over.
//!
//! Owns the table of answers of this router and what it holds for others; each file has one job.

mod directory;
mod failure;
mod live;
mod open;
mod outbox;
mod run;

pub use directory::Directory;
pub use live::{End, Live, Reader, Reading, Spec};
pub use open::{Opened, open};
pub use outbox::Outbox;
pub use run::{Start, spawn};

use crate::app::App;
use cloverpier_answer::{Copies, Retention};
use cloverpier_core::{RequestKey, lock};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often ended answers, old copies, notes and records are dropped.
const SWEEP: Duration = Duration::from_secs(1);

/// Answers that this router owns, and copies that it holds for others.
#[derive(Debug, Default)]
pub struct Answers {
    /// Answers that this router owns.
    pub live: Mutex<HashMap<RequestKey, Arc<Live>>>,
    /// Copies that it holds.
    pub copies: Mutex<Copies>,
    /// Where copies of other routers' answers are.
    pub directory: Mutex<Directory>,
    /// Tokens on their way to holders.
    pub outbox: Outbox,
    /// Calls to plain services that are under way.
    pub calls: AtomicUsize,
}

impl Answers {
    /// Whether no answer is being generated or read, and no call is under way.
    pub fn is_quiet(&self) -> bool {
        let busy = lock(&self.live).values().any(|l| l.is_busy());
        !busy && self.calls.load(Ordering::Relaxed) == 0
    }

    /// An answer that this router owns.
    pub fn get(&self, key: &RequestKey) -> Option<Arc<Live>> {
        lock(&self.live).get(key).cloned()
    }
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(sweep(Arc::clone(app)));
}

async fn sweep(app: Arc<App>) {
    let keep = Retention::default();
    loop {
        app.timers.sleep(SWEEP).await;
        let now = app.now();
        lock(&app.answers.copies).sweep(now, keep);
        lock(&app.answers.directory).sweep(now);
        lock(&app.records).sweep(now);
        let mut live = lock(&app.answers.live);
        live.retain(|_, l| !l.is_over(now, keep.finished));
        app.metrics.gauge("answers.live", live.len() as u64);
    }
}
