//! Validation of a whole configuration, with all errors reported at once.
//!
//! Plans are validated before they are stored and again before they are confirmed, so that only a
//! valid configuration is stored. Each error names its field. Owns no state.

use crate::model::{Account, Config, Service, Upstream};
use cloverpier_core::{AccountName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Upper bound of a service's `copies`: routers can't keep a second copy of a response
/// (docs/DESIGN.md).
pub const MAX_COPIES: u8 = 1;
/// The highest request priority; the lowest is 0.
pub const MAX_PRIORITY: u8 = 9;
/// Characters of a SHA-256 digest in hexadecimal: two for each of its 32 bytes (FIPS 180-4).
const SHA256_HEX_LEN: usize = 64;

/// An invalid field of a configuration. Displayed as `field: expected`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, such as `upstreams.e1.slots`.
    pub field: String,
    /// Description of the valid values, such as `at least 1`.
    pub expected: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.expected)
    }
}

/// Validates a configuration; the list is empty if the configuration is valid.
pub fn check(config: &Config) -> Vec<FieldError> {
    let mut errors = Vec::new();
    for (name, service) in &config.services {
        check_service(name, service, &mut errors);
    }
    for (name, upstream) in &config.upstreams {
        check_upstream(config, name, upstream, &mut errors);
    }
    for (name, account) in &config.accounts {
        check_account(config, name, account, &mut errors);
    }
    errors
}

fn push_error(errors: &mut Vec<FieldError>, field: String, expected: impl Into<String>) {
    errors.push(FieldError {
        field,
        expected: expected.into(),
    });
}

fn is_plain_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(ok)
}

fn check_name(kind: &str, name: &str, errors: &mut Vec<FieldError>) {
    if !is_plain_name(name) {
        push_error(
            errors,
            format!("{kind}.{name}"),
            "a name of 1 to 64 letters, digits, '-', '_' or '.'",
        );
    }
}

fn check_service(name: &ServiceName, service: &Service, errors: &mut Vec<FieldError>) {
    check_name("services", name.as_str(), errors);
    let at = |field: &str| format!("services.{name}.{field}");
    if service.copies > MAX_COPIES {
        push_error(errors, at("copies"), format!("0 to {MAX_COPIES}"));
    }
    if service.silence_ms < 50 {
        push_error(errors, at("silence_ms"), "at least 50");
    }
    if service.max_tokens == 0 {
        push_error(errors, at("max_tokens"), "at least 1");
    }
}

fn check_upstream(
    config: &Config,
    name: &UpstreamName,
    upstream: &Upstream,
    errors: &mut Vec<FieldError>,
) {
    check_name("upstreams", name.as_str(), errors);
    let at = |field: &str| format!("upstreams.{name}.{field}");
    if !config.services.contains_key(&upstream.service) {
        let expected = format!("a service that exists, not {:?}", upstream.service);
        push_error(errors, at("service"), expected);
    }
    if upstream.slots == 0 {
        push_error(errors, at("slots"), "at least 1");
    }
    if upstream.incarnation == 0 {
        push_error(errors, at("incarnation"), "at least 1");
    }
}

fn check_account(
    config: &Config,
    name: &AccountName,
    account: &Account,
    errors: &mut Vec<FieldError>,
) {
    check_name("accounts", name.as_str(), errors);
    let at = |field: &str| format!("accounts.{name}.{field}");
    let hex = account.key_sha256.as_str();
    if hex.len() != SHA256_HEX_LEN || !hex.chars().all(|c| c.is_ascii_hexdigit()) {
        push_error(errors, at("key_sha256"), "64 hexadecimal digits");
    }
    for service in &account.services {
        if !config.services.contains_key(service) {
            push_error(
                errors,
                at("services"),
                format!("services that exist, not {service:?}"),
            );
        }
    }
    if account.requests_per_s == 0 {
        push_error(errors, at("requests_per_s"), "at least 1");
    }
    if account.tokens_per_s == 0 {
        push_error(errors, at("tokens_per_s"), "at least 1");
    }
    if account.weight == 0 {
        push_error(errors, at("weight"), "at least 1");
    }
    if account.max_priority > MAX_PRIORITY {
        push_error(errors, at("max_priority"), format!("0 to {MAX_PRIORITY}"));
    }
}
