//! A log writer that never blocks its callers and bounds what it takes.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for a slow reader at most.
const MOST_WAITING: usize = 2_048;
/// Lines taken in a second at most.
const MOST_A_SECOND: u32 = 1_000;

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
    second: Instant,
    taken: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub fn new(output: impl Write + Send + 'static, dropped: DroppedLines) -> Self {
        let (lines, waiting) = sync_channel(MOST_WAITING);
        thread::spawn(move || write_lines(&waiting, output));
        Self {
            lines,
            line: Vec::new(),
            dropped,
            second: Instant::now(),
            taken: 0,
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.is_within_rate() || self.lines.try_send(line).is_err() {
            self.dropped.add();
        }
    }

    fn is_within_rate(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.taken = 0;
        }
        self.taken += 1;
        self.taken <= MOST_A_SECOND
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
        let _ = output.write_all(&line);
        for line in waiting.try_iter() {
            let _ = output.write_all(&line);
        }
        let _ = output.flush();
    }
}
