//! Runs CPU-heavy work on another thread, so that it does not delay requests.
//!
//! Everything else in a router runs on one thread. To decode or encode a large configuration takes tens of
//! milliseconds on a small VM, in which that thread would serve no request. On another thread the work shares the CPU
//! core with it in time slices. Owns no state.

/// Work on at most this many bytes runs on the calling thread.
const MAX_INLINE_BYTES: usize = 16 * 1024;

/// Runs `work` and returns its result. `bytes` is the size of the data that `work` processes; above 16 KiB, `work`
/// runs on another thread. A panic of `work` is propagated.
pub async fn run_in_background<T: Send + 'static>(
    bytes: usize,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    if bytes <= MAX_INLINE_BYTES {
        return work();
    }
    match tokio::task::spawn_blocking(work).await {
        Ok(done) => done,
        Err(failed) => match failed.try_into_panic() {
            Ok(panic) => std::panic::resume_unwind(panic),
            // The runtime shuts down, and no task needs the result any more.
            Err(_) => std::future::pending().await,
        },
    }
}
