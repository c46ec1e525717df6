//! Log lines: each is a JSON object with time, level, VM, event, and the fields of that event.
//!
//! Owns the format of a line and the initialization of the process's log. Relies on `log` and on
//! `simplelog`, whose line prefixes are all disabled. Events are named `subject.verb`.

use crate::bounded::{BoundedWriter, LogProgress};
use cloverpier_core::{Clock, SystemClock};
use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io;
use std::sync::Arc;

/// The fields of an event without fields.
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
    clock: Arc<dyn Clock>,
}

impl Log {
    /// Creates the log of a process on the VM of this name, with times by the machine's clock.
    pub fn new(vm: &str) -> Self {
        Self::with_clock(vm, Arc::new(SystemClock))
    }

    /// Creates the log of a process on the VM of this name, with times by the wall clock of `clock`.
    pub fn with_clock(vm: &str, clock: Arc<dyn Clock>) -> Self {
        Self {
            vm: Arc::from(vm),
            clock,
        }
    }

    /// Logs an event of normal operation.
    pub fn info<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Info, event, fields);
    }

    /// Logs an event that an operator may have to act on.
    pub fn warn<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Warn, event, fields);
    }

    /// Logs a detail for diagnosis.
    pub fn debug<T: Serialize>(&self, event: &'static str, fields: &T) {
        self.write(Level::Debug, event, fields);
    }

    fn write<T: Serialize>(&self, level: Level, event: &'static str, fields: &T) {
        if !log::log_enabled!(target: "cloverpier", level) {
            return;
        }
        let line = Line {
            ts_ms: self.clock.wall_ms(),
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
        // Serialization does not fail: fields are structs of plain values.
        if let Ok(text) = serde_json::to_string(&line) {
            log::log!(target: "cloverpier", level, "{text}");
        }
    }
}

/// Writes log lines of `level` and above to standard error.
///
/// A line consists of the JSON object only, without a prefix. Log lines of libraries are excluded. A second
/// call in a process has no effect.
pub fn init_logs(level: LevelFilter) {
    init(level, io::stderr());
}

/// Writes log lines of `level` and above to standard output, without blocking on a slow reader.
///
/// Returns the counts of dropped and pending lines; before the process exits, it should call
/// [`LogProgress::wait_until_written`]. A second call in a process has no effect on the log.
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
    // The error of a second call is ignored: the first logger stays.
    let _ = WriteLogger::init(level, config, output);
}
