//! Settings that can't stand are told all at once.

use cloverpier_settings::prelude::*;

const GOOD: &str = r#"
vm = "vm-1"
data_centre = "hall-a"
callers_listen = "127.0.0.1:7101"
peers_listen = "127.0.0.1:7201"
platform = "127.0.0.1:7000"
seeds = ["127.0.0.1:7202"]
peer_secret = "sixteen characters"
operator_key = "sixteen characters too"
"#;

#[test]
fn good_settings_are_read_with_their_defaults() {
    let settings = DaemonSettings::parse(GOOD).unwrap();
    assert_eq!(settings.callers_at, settings.callers_listen);
    assert_eq!(settings.addresses_ttl.as_secs(), 20);
    assert_eq!(settings.log_level, "info");
}

#[test]
fn all_faults_are_told_at_once() {
    let text = r#"
vm = ""
data_centre = 7
callers_listen = "localhost:7101"
seeds = ["127.0.0.1:7202", "nowhere"]
peer_secret = "short"
operator_key = "sixteen characters too"
log_level = "loud"
copy_interval_ms = -1
colour = "blue"
"#;
    let faults = DaemonSettings::parse(text).unwrap_err();
    insta::assert_snapshot!(faults.to_string());
}

#[test]
fn broken_toml_is_one_fault_of_the_file() {
    let faults = DaemonSettings::parse("vm = ").unwrap_err();
    assert_eq!(faults.faults.len(), 1);
    assert_eq!(faults.faults[0].key, "(file)");
}

#[test]
fn secrets_do_not_show_in_debug_output() {
    let shown = format!("{:?}", DaemonSettings::parse(GOOD).unwrap());
    assert!(!shown.contains("sixteen"), "{shown}");
}
