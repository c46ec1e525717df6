//! Work that would hold up callers, on another thread.
//!
//! Owns no state. Everything else of a router runs on one thread, which serves nobody while
//! it reads or writes a large configuration, which takes tens of milliseconds on a small VM. A second
//! thread shares the core with it in turns.

/// Work on at most this many bytes is done in place, without a thread.
const MAX_IN_PLACE: usize = 16 * 1024;

/// Runs `work` on something of `bytes` bytes, on another thread where that is long.
pub async fn run_in_background<T: Send + 'static>(
    bytes: usize,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    if bytes <= MAX_IN_PLACE {
        return work();
    }
    match tokio::task::spawn_blocking(work).await {
        Ok(done) => done,
        Err(failed) => match failed.try_into_panic() {
            Ok(panic) => std::panic::resume_unwind(panic),
            // The process is ending, and nobody waits for the outcome.
            Err(_) => std::future::pending().await,
        },
    }
}
