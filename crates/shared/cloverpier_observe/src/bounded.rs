//! A log writer that never blocks its callers and bounds what it accepts.
//!
//! Owns the lines that wait for the reader of the log and the thread that writes them. A
//! request must not wait for a log reader, so what comes too fast, or while too much waits,
//! is dropped and counted. It reads the machine's clock itself: the log facade hands over
//! bytes alone.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for a slow reader at most: about a megabyte.
const MAX_WAITING: usize = 2_048;
/// Lines accepted in one window at most.
const MAX_PER_WINDOW: u32 = 1_000;
/// The window of that bound.
const WINDOW: Duration = Duration::from_secs(1);

/// How far the log has got: lines that were dropped, and lines that wait.
#[derive(Clone, Debug, Default)]
pub struct LogProgress(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    dropped: AtomicU64,
    waiting: Mutex<usize>,
    written: Condvar,
}

impl LogProgress {
    /// How many lines were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all accepted lines are written, for `bound` at most; false if some are not.
    ///
    /// A process that is about to end calls it: the writing thread ends with the process, and
    /// with it went the last lines (of 36 stops on a busy machine, 2 without `process.stopped`).
    pub fn wait_written(&self, bound: Duration) -> bool {
        let is_waiting = |waiting: &mut usize| *waiting > 0;
        let waited = self
            .0
            .written
            .wait_timeout_while(self.waiting(), bound, is_waiting);
        let (waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *waiting == 0
    }

    fn on_dropped(&self) {
        self.0.dropped.fetch_add(1, Ordering::Relaxed);
    }

    fn on_accepted(&self) {
        *self.waiting() += 1;
    }

    /// Lines are written, or were not accepted after all.
    fn on_done(&self, lines: usize) {
        *self.waiting() -= lines;
        self.0.written.notify_all();
    }

    /// A count is sound whatever a thread that held it did.
    fn waiting(&self) -> MutexGuard<'_, usize> {
        let waiting = self.0.waiting.lock();
        waiting.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hands whole lines to a thread that writes them.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    progress: LogProgress,
    window_began: Instant,
    accepted: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub fn new(output: impl Write + Send + 'static, progress: LogProgress) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        let written = progress.clone();
        thread::spawn(move || write_lines(&waiting, output, &written));
        Self {
            lines,
            line: Vec::new(),
            progress,
            window_began: Instant::now(),
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
            self.progress.on_done(1);
            self.progress.on_dropped();
        }
    }

    fn is_within_rate(&mut self) -> bool {
        let now = Instant::now();
        if now.saturating_duration_since(self.window_began) >= WINDOW {
            self.window_began = now;
            self.accepted = 0;
        }
        self.accepted += 1;
        self.accepted <= MAX_PER_WINDOW
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

/// Writes lines until their sender is gone; a reader that is gone costs only the lines.
fn write_lines(waiting: &Receiver<Vec<u8>>, mut output: impl Write, progress: &LogProgress) {
    while let Ok(line) = waiting.recv() {
        let mut lines = 1;
        // Where the log cannot be written there is nowhere left to say so.
        let _ = output.write_all(&line);
        for line in waiting.try_iter() {
            let _ = output.write_all(&line);
            lines += 1;
        }
        let _ = output.flush();
        progress.on_done(lines);
    }
}
