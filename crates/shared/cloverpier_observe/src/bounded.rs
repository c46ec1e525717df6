//! A log writer that never blocks its callers and bounds what it accepts.
//!
//! Owns the lines that wait for the reader of the log and the thread that writes them. A
//! request must not wait for a log reader, so what comes too fast, or while too much waits,
//! is dropped and counted. It reads the machine's clock itself: the log facade hands over
//! bytes alone.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for a slow reader at most: about a megabyte.  Chosen, not measured.
const MAX_WAITING: usize = 2_048;
/// Lines accepted in one window at most.  Chosen, not measured.
const MAX_PER_WINDOW: u32 = 1_000;
/// The window of that bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines that were dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// How many lines were dropped so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Hands whole lines to a thread that writes them.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: DroppedLines,
    window_began: Instant,
    accepted: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub fn new(output: impl Write + Send + 'static, dropped: DroppedLines) -> Self {
        let (lines, waiting) = sync_channel(MAX_WAITING);
        thread::spawn(move || write_lines(&waiting, output));
        Self {
            lines,
            line: Vec::new(),
            dropped,
            window_began: Instant::now(),
            accepted: 0,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.is_within_rate() || self.lines.try_send(line).is_err() {
            self.dropped.add();
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
fn write_lines(waiting: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = waiting.recv() {
        // Where the log cannot be written there is nowhere left to say so.
        let _ = output.write_all(&line);
        for line in waiting.try_iter() {
            let _ = output.write_all(&line);
        }
        let _ = output.flush();
    }
}
