//! Log lines: one JSON object each, with time, level, VM and event before its own fields.
//!
//! Owns the form of a line and the set-up of the process's log. Relies on `log` and
//! `simplelog`, all of whose prefixes are off. Events are named `subject.verb`.

use crate::bounded::{BoundedWriter, LogProgress};
use cloverpier_core::wall_ms;
use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io;
use std::sync::Arc;

/// Fields of a line that has none of its own.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct NoFields {}

#[derive(Serialize)]
struct Line<'a, T> {
    ts_ms: u64,
    level: &'static str,
    vm: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a T,
}

/// Writes the log lines of one process.
#[derive(Clone, Debug)]
pub struct Log {
    vm: Arc<str>,
}

impl Log {
    /// The log of a process on a VM.
    pub fn new(vm: &str) -> Self {
        Self { vm: Arc::from(vm) }
    }

    /// Something that happens in the ordinary course.
    pub fn info<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Info, event, fields);
    }

    /// Something that an operator may have to look at.
    pub fn warn<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Warn, event, fields);
    }

    /// Detail for whoever looks for a cause.
    pub fn debug<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Debug, event, fields);
    }

    fn write<T: Serialize>(&self, level: Level, event: &'static str, fields: &T) {
        if !log::log_enabled!(target: "cloverpier", level) {
            return;
        }
        let line = Line {
            ts_ms: wall_ms(),
            level: match level {
                Level::Error => "error",
                Level::Warn => "warn",
                Level::Info => "info",
                Level::Debug => "debug",
                Level::Trace => "trace",
            },
            vm: &self.vm,
            event,
            fields,
        };
        // Fields are structs of plain values, which can always be written.
        if let Ok(text) = serde_json::to_string(&line) {
            log::log!(target: "cloverpier", level, "{text}");
        }
    }
}

/// Sends log lines to standard error, from a level on.
///
/// All prefixes are off: the message is the whole line. Lines of libraries
/// are kept out. A second call changes nothing.
pub fn init_logs(level: LevelFilter) {
    init(level, io::stderr());
}

/// Sends log lines to standard output, never waiting for its reader.
///
/// Returns how far the log has got: the lines that were dropped to keep that promise, and those
/// that wait, which a process that ends waits for.
pub fn init_logs_bounded(level: LevelFilter) -> LogProgress {
    let progress = LogProgress::default();
    init(level, BoundedWriter::new(io::stdout(), progress.clone()));
    progress
}

fn init(level: LevelFilter, output: impl io::Write + Send + 'static) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("cloverpier")
        .build();
    // A second call finds a logger in place, which stays.
    let _ = WriteLogger::init(level, config, output);
}
