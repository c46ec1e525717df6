//! Answers: running generations, copying their tokens, taking them over.
//!
//! [`table`] owns the answers of this router and what it holds for others; each file has one job.

mod attempt;
mod directory;
mod failure;
mod live;
mod open;
mod order;
mod outbox;
mod outbox_state;
mod quiet;
mod race;
mod run;
mod seek;
pub(crate) mod table;
mod tries;

pub use directory::Directory;
pub use live::{End, Live, Reader, Reading, Spec};
pub use open::{NewAnswer, Opened, open, unreachable};
pub use run::{Start, spawn};

use crate::app::App;
use cloverpier_answer::Retention;
use cloverpier_core::lock;
use std::sync::Arc;
use std::time::Duration;

/// How often ended answers, old copies, notes and records are dropped.
const SWEEP: Duration = Duration::from_secs(1);

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
