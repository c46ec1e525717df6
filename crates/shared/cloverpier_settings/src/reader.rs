//! Reads one table of TOML and collects what is wrong with it.
//!
//! Each key is taken out once, with its expected form and its default; what is left at the end is
//! unknown. Owns the texts of faults.

use cloverpier_crashes::ContentKey;
use snafu::Snafu;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use toml::{Table, Value};

/// One key that can't stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// The key.
    pub key: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.key, self.expected)
    }
}

/// All that is wrong with the settings.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{}", lines(faults)))]
pub struct SettingFaults {
    /// The faults, in the order of the settings.
    pub faults: Vec<SettingFault>,
}

fn lines(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A table that is being read; each key is taken out once.
#[derive(Debug)]
pub(crate) struct Reader {
    table: Table,
    faults: Vec<SettingFault>,
}

impl Reader {
    /// Reads the text of a settings file.
    pub(crate) fn parse(text: &str) -> Result<Self, SettingFaults> {
        let table = text.parse().map_err(|e: toml::de::Error| SettingFaults {
            faults: vec![SettingFault {
                key: "(file)".to_owned(),
                expected: format!("TOML: {}", e.message()),
            }],
        })?;
        Ok(Self {
            table,
            faults: Vec::new(),
        })
    }

    pub(crate) fn fault(&mut self, key: &str, expected: &str) {
        self.faults.push(SettingFault {
            key: key.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Takes a key, `None` where it is missing or of another kind.
    fn take<T>(
        &mut self,
        key: &str,
        expected: &str,
        needed: bool,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        match self.table.remove(key) {
            None if needed => {
                self.fault(key, &format!("{expected}; it is missing"));
                None
            }
            None => None,
            Some(value) => {
                let found = read(&value);
                if found.is_none() {
                    self.fault(key, expected);
                }
                found
            }
        }
    }

    pub(crate) fn text(&mut self, key: &str, expected: &str) -> String {
        let text = |v: &Value| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned);
        // The fault is noted; settings with faults are never used.
        self.take(key, expected, true, text).unwrap_or_default()
    }

    pub(crate) fn text_or(&mut self, key: &str, expected: &str, default: &str) -> String {
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let found = self.take(key, expected, false, text);
        found.unwrap_or_else(|| default.to_owned())
    }

    pub(crate) fn address(&mut self, key: &str) -> SocketAddr {
        let found = self.take(key, ADDRESS, true, as_address);
        found.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    pub(crate) fn address_or(&mut self, key: &str) -> Option<SocketAddr> {
        self.take(key, ADDRESS, false, as_address)
    }

    pub(crate) fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let list = |v: &Value| v.as_array()?.iter().map(as_address).collect();
        let expected = "a list of IP addresses with ports";
        // No list is an empty one; a fault is noted by `take`.
        self.take(key, expected, false, list).unwrap_or_default()
    }

    /// Contents as log lines name them.
    pub(crate) fn texts(&mut self, key: &str) -> Vec<String> {
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let list = |v: &Value| v.as_array()?.iter().map(text).collect();
        // No list is an empty one; a fault is noted by `take`.
        self.take(key, "a list of texts", false, list)
            .unwrap_or_default()
    }

    pub(crate) fn contents(&mut self, key: &str) -> HashSet<ContentKey> {
        let content = |v: &Value| ContentKey::parse(v.as_str()?);
        let list = |v: &Value| v.as_array()?.iter().map(content).collect();
        let expected = "a list of contents, 32 hexadecimal digits each";
        // No list is an empty one; a fault is noted by `take`.
        self.take(key, expected, false, list).unwrap_or_default()
    }

    pub(crate) fn number_or(&mut self, key: &str, low: u64, high: u64, default: u64) -> u64 {
        let expected = format!("a whole number from {low} to {high}");
        let number = |v: &Value| {
            let n = u64::try_from(v.as_integer()?).ok()?;
            (low..=high).contains(&n).then_some(n)
        };
        let found = self.take(key, &expected, false, number);
        found.unwrap_or(default)
    }

    pub(crate) fn decimal_or(&mut self, key: &str, low: f64, high: f64, default: f64) -> f64 {
        // Absent; a value out of range was noted as a fault of the settings.
        self.decimal(key, low, high).unwrap_or(default)
    }

    pub(crate) fn decimal(&mut self, key: &str, low: f64, high: f64) -> Option<f64> {
        let expected = format!("a number from {low} to {high}");
        let number = |v: &Value| {
            let n = v.as_float().or_else(|| v.as_integer().map(|i| i as f64))?;
            (low..=high).contains(&n).then_some(n)
        };
        self.take(key, &expected, false, number)
    }

    pub(crate) fn flag_or(&mut self, key: &str, default: bool) -> bool {
        let found = self.take(key, "true or false", false, Value::as_bool);
        found.unwrap_or(default)
    }

    /// Ends the reading; keys that nobody took are unknown.
    pub(crate) fn finish(mut self) -> Result<(), SettingFaults> {
        let unknown: Vec<String> = self.table.keys().cloned().collect();
        for key in unknown {
            self.fault(&key, "a known key");
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingFaults {
            faults: self.faults,
        })
    }
}

const ADDRESS: &str = "an IP address with a port, as in \"10.0.0.1:7100\"";

fn as_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Reads the log level, which both programs have.
pub(crate) fn level(r: &mut Reader) -> String {
    let expected = "\"error\", \"warn\", \"info\" or \"debug\"";
    let text = r.text_or("log_level", expected, "info");
    if !["error", "warn", "info", "debug"].contains(&text.as_str()) {
        r.fault("log_level", expected);
    }
    text
}
