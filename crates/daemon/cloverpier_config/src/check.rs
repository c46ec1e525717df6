//! Checks of a whole configuration; all faults are reported at once.
//!
//! Used for plans, so that what is stored can stand. Each fault names its field.

use crate::model::{Account, Config, Service, Upstream};
use cloverpier_core::{AccountName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Copies that a service can ask for at most: a second one is not built (docs/DESIGN.md).
pub const MAX_COPIES: u8 = 1;
/// The highest priority of ten ranks.
pub const MAX_PRIORITY: u8 = 9;
/// Characters of a SHA-256 digest in hexadecimal: two for each of its 32 bytes (FIPS 180-4).
const SHA256_HEX_LEN: usize = 64;

/// A field that can't stand, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The field, as in `upstreams.e1.slots`.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.expected)
    }
}

/// Checks a configuration; the list is empty when it can stand.
pub fn check(config: &Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, service) in &config.services {
        check_service(name, service, &mut faults);
    }
    for (name, upstream) in &config.upstreams {
        check_upstream(config, name, upstream, &mut faults);
    }
    for (name, account) in &config.accounts {
        check_account(config, name, account, &mut faults);
    }
    faults
}

fn fault(faults: &mut Vec<Fault>, field: String, expected: impl Into<String>) {
    faults.push(Fault {
        field,
        expected: expected.into(),
    });
}

fn is_plain_name(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.len() <= 64 && text.chars().all(ok)
}

fn check_name(kind: &str, name: &str, faults: &mut Vec<Fault>) {
    if !is_plain_name(name) {
        fault(
            faults,
            format!("{kind}.{name}"),
            "a name of 1 to 64 letters, digits, '-', '_' or '.'",
        );
    }
}

fn check_service(name: &ServiceName, service: &Service, faults: &mut Vec<Fault>) {
    check_name("services", name.as_str(), faults);
    let at = |field: &str| format!("services.{name}.{field}");
    if service.copies > MAX_COPIES {
        fault(faults, at("copies"), format!("0 to {MAX_COPIES}"));
    }
    if service.silence_ms < 50 {
        fault(faults, at("silence_ms"), "at least 50");
    }
    if service.max_tokens == 0 {
        fault(faults, at("max_tokens"), "at least 1");
    }
}

fn check_upstream(
    config: &Config,
    name: &UpstreamName,
    upstream: &Upstream,
    faults: &mut Vec<Fault>,
) {
    check_name("upstreams", name.as_str(), faults);
    let at = |field: &str| format!("upstreams.{name}.{field}");
    if !config.services.contains_key(&upstream.service) {
        let expected = format!("a service that exists, not {:?}", upstream.service);
        fault(faults, at("service"), expected);
    }
    if upstream.slots == 0 {
        fault(faults, at("slots"), "at least 1");
    }
    if upstream.incarnation == 0 {
        fault(faults, at("incarnation"), "at least 1");
    }
}

fn check_account(config: &Config, name: &AccountName, account: &Account, faults: &mut Vec<Fault>) {
    check_name("accounts", name.as_str(), faults);
    let at = |field: &str| format!("accounts.{name}.{field}");
    let hex = account.key_sha256.as_str();
    if hex.len() != SHA256_HEX_LEN || !hex.chars().all(|c| c.is_ascii_hexdigit()) {
        fault(faults, at("key_sha256"), "64 hexadecimal digits");
    }
    for service in &account.services {
        if !config.services.contains_key(service) {
            fault(
                faults,
                at("services"),
                format!("services that exist, not {service:?}"),
            );
        }
    }
    if account.requests_per_s == 0 {
        fault(faults, at("requests_per_s"), "at least 1");
    }
    if account.tokens_per_s == 0 {
        fault(faults, at("tokens_per_s"), "at least 1");
    }
    if account.weight == 0 {
        fault(faults, at("weight"), "at least 1");
    }
    if account.max_priority > MAX_PRIORITY {
        fault(faults, at("max_priority"), format!("0 to {MAX_PRIORITY}"));
    }
}
