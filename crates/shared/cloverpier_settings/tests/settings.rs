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

const ROUTER: &str = r#"
vm = "front-hall-a-1"
data_centre = "hall-a"
callers_listen = "127.0.0.1:7101"
ready_listen = "127.0.0.1:7102"
directory_listen = "127.0.0.1:7103"
peers_listen = "127.0.0.1:7201"
store = "127.0.0.1:7000"
"#;

#[test]
fn work_of_one_router_needs_the_api_where_it_is_done() {
    let text = format!("{ROUTER}singleton_work = [\"metering\"]\n");
    let faults = RouterSettings::parse(&text).unwrap_err();
    let keys: Vec<&str> = faults.faults.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["singleton_api"]);
}

#[test]
fn work_that_is_not_known_is_named_and_not_done() {
    let text = format!(
        "{ROUTER}singleton_api = \"127.0.0.1:7001\"\nsingleton_work = [\"metering\", \"tidying\"]\n"
    );
    let settings = RouterSettings::parse(&text).unwrap();
    let singleton = settings.singleton.unwrap();
    assert!(singleton.meters && !singleton.scales);
    assert_eq!(settings.unknown_work, ["tidying"]);
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
