//! The bounded log writer: waiting for pending lines at shutdown, and dropping lines.
//!
//! Guards against lost lines at shutdown: if a process exits before its writing thread has written all
//! lines, its log lacks the line `process.stopped` (2 of 36 shutdowns on a busy machine).

use cloverpier_observe::prelude::*;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longer than the wait takes if the code under test is correct.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An output that accepts one line for each permit that the test sends.
struct SteppedOutput {
    permits_rx: Receiver<()>,
    output: Arc<Mutex<Vec<u8>>>,
}

impl Write for SteppedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits_rx.recv().map_err(io::Error::other)?;
        self.output.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn writer() -> (BoundedWriter, LogProgress, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (permit, permits_rx) = channel();
    let output = Arc::default();
    let stepped = SteppedOutput {
        permits_rx,
        output: Arc::clone(&output),
    };
    let progress = LogProgress::default();
    let writer = BoundedWriter::new(stepped, progress.clone());
    (writer, progress, permit, output)
}

#[test]
fn a_process_can_wait_until_its_last_lines_are_written() {
    let (mut writer, progress, permit, output) = writer();
    writer.write_all(b"one\ntwo\nthree\n").unwrap();
    for _ in 0..3 {
        permit.send(()).unwrap();
    }
    assert!(progress.wait_until_written(TEST_TIMEOUT));
    assert_eq!(output.lock().unwrap().as_slice(), b"one\ntwo\nthree\n");
    assert_eq!(progress.dropped(), 0);
}

#[test]
fn the_wait_for_a_stalled_reader_is_bounded() {
    let (mut writer, progress, permit, _output) = writer();
    writer.write_all(b"one\ntwo\n").unwrap();
    permit.send(()).unwrap();
    assert!(!progress.wait_until_written(Duration::from_millis(20)));
}

#[test]
fn dropped_lines_are_not_waited_for() {
    let (mut writer, progress, permit, _output) = writer();
    // More lines than can be pending or accepted in a second.
    for _ in 0..4_100 {
        writer.write_all(b"line\n").unwrap();
    }
    assert!(progress.dropped() > 0);
    for _ in 0..4_100 {
        permit.send(()).unwrap();
    }
    assert!(progress.wait_until_written(TEST_TIMEOUT));
}
