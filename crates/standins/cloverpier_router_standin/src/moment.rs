//! The present moment for whatever stand-ins record.

use std::time::Instant;

/// The present moment on the runtime's clock, which is the machine's unless a test has paused it.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
