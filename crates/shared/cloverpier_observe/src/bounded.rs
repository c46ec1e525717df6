//! A log writer that never blocks its callers and limits the number of lines that it accepts.
//!
//! Owns the pending lines and the thread that writes them to the output. A request must not wait for a slow
//! reader of the log, so a line is dropped and counted if there are too many pending lines, or too many
//! lines per second. The writer reads the machine's clock itself, since the log facade passes only bytes.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The maximum number of lines that are accepted but not written yet: about a megabyte.
const MAX_PENDING_LINES: usize = 2_048;
/// The maximum number of lines that are accepted in one [`RATE_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 1_000;
/// The interval for which accepted lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The number of dropped lines and of pending lines of a [`BoundedWriter`]; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct LogProgress(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    dropped: AtomicU64,
    pending: Mutex<usize>,
    written: Condvar,
}

impl LogProgress {
    /// The number of lines that were dropped since the writer was created.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Blocks until all accepted lines are written, for at most `timeout`. Returns false if some lines are
    /// not written by then.
    ///
    /// A process calls this function before it exits. Otherwise the writing thread is stopped before it has
    /// written the last lines: on a busy machine, 2 of 36 shutdowns lose the line `process.stopped`.
    pub fn wait_until_written(&self, timeout: Duration) -> bool {
        let is_pending = |pending: &mut usize| *pending > 0;
        let waited = self
            .0
            .written
            .wait_timeout_while(self.pending(), timeout, is_pending);
        let (pending, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *pending == 0
    }

    fn on_dropped(&self) {
        self.0.dropped.fetch_add(1, Ordering::Relaxed);
    }

    fn on_accepted(&self) {
        *self.pending() += 1;
    }

    /// Records lines that are no longer pending: written, or dropped because the queue is full.
    fn on_written(&self, lines: usize) {
        *self.pending() -= lines;
        self.0.written.notify_all();
    }

    /// The number of pending lines. Poisoning of the lock is ignored: a count is valid after a panic, too.
    fn pending(&self) -> MutexGuard<'_, usize> {
        let pending = self.0.pending.lock();
        pending.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Passes complete lines to a thread that writes them to the output.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    progress: LogProgress,
    window_started_at: Instant,
    accepted: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`; `progress` gets the counts of lines.
    pub fn new(output: impl Write + Send + 'static, progress: LogProgress) -> Self {
        let (lines, pending) = sync_channel(MAX_PENDING_LINES);
        let written = progress.clone();
        thread::spawn(move || write_lines(&pending, output, &written));
        Self {
            lines,
            line: Vec::new(),
            progress,
            window_started_at: Instant::now(),
            accepted: 0,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.is_within_rate() {
            self.progress.on_dropped();
            return;
        }
        self.progress.on_accepted();
        if self.lines.try_send(line).is_err() {
            self.progress.on_written(1);
            self.progress.on_dropped();
        }
    }

    fn is_within_rate(&mut self) -> bool {
        let now = Instant::now();
        if now.saturating_duration_since(self.window_started_at) >= RATE_WINDOW {
            self.window_started_at = now;
            self.accepted = 0;
        }
        self.accepted += 1;
        self.accepted <= MAX_LINES_PER_WINDOW
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the [`BoundedWriter`] is dropped. After a write error, the lines are lost, and writing
/// continues with the next line.
fn write_lines(pending: &Receiver<Vec<u8>>, mut output: impl Write, progress: &LogProgress) {
    while let Ok(line) = pending.recv() {
        let mut lines = 1;
        // Errors of writing the log cannot be logged.
        let _ = output.write_all(&line);
        for line in pending.try_iter() {
            let _ = output.write_all(&line);
            lines += 1;
        }
        let _ = output.flush();
        progress.on_written(lines);
    }
}
