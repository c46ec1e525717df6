//! Reads the values of a TOML table by key, and collects the errors of all keys.
//!
//! Each read removes a key from the table and checks the type and range of its value; the keys that remain
//! at the end are unknown. Owns the texts of errors.

use cloverpier_crashes::ContentKey;
use snafu::Snafu;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use toml::{Table, Value};

/// A key that is missing, invalid or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key; `(file)` if the text is no valid TOML.
    pub key: String,
    /// A description of the values that the key accepts.
    pub expected: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.key, self.expected)
    }
}

/// All errors of a settings file; `Display` writes one line for each.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("{}", lines(errors)))]
pub struct SettingErrors {
    /// The errors, in the order in which the keys are read; unknown keys are last.
    pub errors: Vec<SettingError>,
}

fn lines(errors: &[SettingError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A TOML table from which each key is read once. A read with an invalid value returns a default and
/// records an error, which [`TableReader::finish`] returns.
#[derive(Debug)]
pub(crate) struct TableReader {
    table: Table,
    errors: Vec<SettingError>,
}

impl TableReader {
    /// Parses the text of a settings file.
    pub(crate) fn parse(text: &str) -> Result<Self, SettingErrors> {
        let table = text.parse().map_err(|e: toml::de::Error| SettingErrors {
            errors: vec![SettingError {
                key: "(file)".to_owned(),
                expected: format!("TOML: {}", e.message()),
            }],
        })?;
        Ok(Self {
            table,
            errors: Vec::new(),
        })
    }

    pub(crate) fn record_error(&mut self, key: &str, expected: &str) {
        self.errors.push(SettingError {
            key: key.to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Removes a key and converts its value with `parse`; `None` if the key is missing or its value invalid.
    /// Records an error for an invalid value, and for a missing key if `required`.
    fn take<T>(
        &mut self,
        key: &str,
        expected: &str,
        required: bool,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        match self.table.remove(key) {
            None if required => {
                self.record_error(key, &format!("{expected}; it is missing"));
                None
            }
            None => None,
            Some(value) => {
                let parsed = parse(&value);
                if parsed.is_none() {
                    self.record_error(key, expected);
                }
                parsed
            }
        }
    }

    pub(crate) fn text(&mut self, key: &str, expected: &str) -> String {
        let text = |v: &Value| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned);
        // After an error, the empty text is never used: `finish` returns the error.
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

    pub(crate) fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.take(key, ADDRESS, false, as_address)
    }

    pub(crate) fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let list = |v: &Value| v.as_array()?.iter().map(as_address).collect();
        let expected = "a list of IP addresses with ports";
        // `None` means a missing key, or an invalid value, for which `take` recorded an error.
        self.take(key, expected, false, list).unwrap_or_default()
    }

    /// Reads an optional list of strings; a missing key is an empty list.
    pub(crate) fn text_list(&mut self, key: &str) -> Vec<String> {
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let list = |v: &Value| v.as_array()?.iter().map(text).collect();
        // `None` means a missing key, or an invalid value, for which `take` recorded an error.
        self.take(key, "a list of texts", false, list)
            .unwrap_or_default()
    }

    /// Reads an optional list of request contents, each as the hexadecimal key that log lines contain.
    pub(crate) fn content_keys(&mut self, key: &str) -> HashSet<ContentKey> {
        let content = |v: &Value| ContentKey::parse(v.as_str()?);
        let list = |v: &Value| v.as_array()?.iter().map(content).collect();
        let expected = "a list of contents, 32 hexadecimal digits each";
        // `None` means a missing key, or an invalid value, for which `take` recorded an error.
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
        // `None` means a missing key, or an invalid value, for which `take` recorded an error.
        self.optional_decimal(key, low, high).unwrap_or(default)
    }

    pub(crate) fn optional_decimal(&mut self, key: &str, low: f64, high: f64) -> Option<f64> {
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

    /// Returns the recorded errors, with an error for each key that was not read.
    pub(crate) fn finish(mut self) -> Result<(), SettingErrors> {
        let unknown: Vec<String> = self.table.keys().cloned().collect();
        for key in unknown {
            self.record_error(&key, "a known key");
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        Err(SettingErrors {
            errors: self.errors,
        })
    }
}

const ADDRESS: &str = "an IP address with a port, as in \"10.0.0.1:7100\"";

fn as_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Reads `log_level`, a key of both programs.
pub(crate) fn read_log_level(r: &mut TableReader) -> String {
    let expected = "\"error\", \"warn\", \"info\" or \"debug\"";
    let text = r.text_or("log_level", expected, "info");
    if !["error", "warn", "info", "debug"].contains(&text.as_str()) {
        r.record_error("log_level", expected);
    }
    text
}
