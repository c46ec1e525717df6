//! What the writer of log lines keeps, and for how long.
//!
//! What was seen: of 36 planned stops on a busy machine, two logs ended without the line
//! `process.stopped`. The process had ended before its writing thread came to it.

use cloverpier_observe::prelude::*;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longer than anything takes that works.
const PATIENCE: Duration = Duration::from_secs(30);

/// A reader that takes a line each time that it is told to.
struct SlowReader {
    takes: Receiver<()>,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for SlowReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.takes.recv().map_err(io::Error::other)?;
        self.taken.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn writer() -> (BoundedWriter, LogProgress, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (take, takes) = channel();
    let taken = Arc::default();
    let reader = SlowReader {
        takes,
        taken: Arc::clone(&taken),
    };
    let progress = LogProgress::default();
    let writer = BoundedWriter::new(reader, progress.clone());
    (writer, progress, take, taken)
}

#[test]
fn a_process_that_ends_can_wait_for_its_last_lines() {
    let (mut writer, progress, take, taken) = writer();
    writer.write_all(b"one\ntwo\nthree\n").unwrap();
    for _ in 0..3 {
        take.send(()).unwrap();
    }
    assert!(progress.wait_written(PATIENCE));
    assert_eq!(taken.lock().unwrap().as_slice(), b"one\ntwo\nthree\n");
    assert_eq!(progress.dropped(), 0);
}

#[test]
fn a_reader_that_takes_nothing_holds_it_up_for_a_bounded_time() {
    let (mut writer, progress, take, _taken) = writer();
    writer.write_all(b"one\ntwo\n").unwrap();
    take.send(()).unwrap();
    assert!(!progress.wait_written(Duration::from_millis(20)));
}

#[test]
fn a_line_that_is_dropped_is_not_waited_for() {
    let (mut writer, progress, take, _taken) = writer();
    // More than wait for a reader that takes nothing.
    for _ in 0..4_100 {
        writer.write_all(b"line\n").unwrap();
    }
    assert!(progress.dropped() > 0);
    for _ in 0..4_100 {
        take.send(()).unwrap();
    }
    assert!(progress.wait_written(PATIENCE));
}
