//! The keys of both settings files, so that no rename reaches them.

use cloverpier_settings::prelude::*;

const ROUTER_ON_PLATFORM: &[(&str, &str)] = &[
    ("vm", "\"vm-1\""),
    ("data_centre", "\"hall-a\""),
    ("callers_listen", "\"127.0.0.1:7101\""),
    ("ready_listen", "\"127.0.0.1:7102\""),
    ("directory_listen", "\"127.0.0.1:7103\""),
    ("peers_listen", "\"127.0.0.1:7104\""),
    ("metrics_listen", "\"127.0.0.1:7105\""),
    ("store", "\"127.0.0.1:7000\""),
    ("seeds", "[\"127.0.0.1:7204\"]"),
    ("grace_s", "8.5"),
    ("directory_keep_s", "1.5"),
    ("heartbeat_ms", "200"),
    ("link_mbps", "200.5"),
    ("memory_mb", "512"),
    ("address_reuse_s", "2"),
    ("retry_ratio", "0.2"),
    ("retry_slack", "20"),
    ("retry_window_s", "10"),
    ("exposure_share", "0.1"),
    ("exposure_slack", "50"),
    ("singleton_api", "\"127.0.0.1:7001\""),
    ("singleton_work", "[\"metering\", \"autoscale\"]"),
    ("singleton_lease_ms", "3000"),
    ("usage_window_s", "5"),
    ("usage_late_s", "10.5"),
    ("ask_after_ms", "150"),
    ("ask_before_first_ms", "700"),
    ("answer_within_ms", "200"),
    ("answer_before_first_ms", "450"),
    ("stuck_after_ms", "1000"),
    ("stuck_before_first_ms", "5000"),
    ("backups", "false"),
    ("crash_limit", "3"),
    ("cleared_contents", "[\"00000000000000000000000000000abc\"]"),
    ("log_level", "\"warn\""),
];

const DAEMON: &[(&str, &str)] = &[
    ("vm", "\"vm-1\""),
    ("data_centre", "\"hall-a\""),
    ("callers_listen", "\"127.0.0.1:7101\""),
    ("peers_listen", "\"127.0.0.1:7201\""),
    ("callers_at", "\"127.0.0.1:7301\""),
    ("peers_at", "\"127.0.0.1:7401\""),
    ("platform", "\"127.0.0.1:7000\""),
    ("seeds", "[\"127.0.0.1:7202\"]"),
    ("peer_secret", "\"sixteen characters\""),
    ("operator_key", "\"sixteen characters too\""),
    ("statsd", "\"127.0.0.1:8125\""),
    ("addresses_ttl_s", "20"),
    ("record_horizon_s", "600"),
    ("copy_interval_ms", "2"),
    ("load_period_ms", "500"),
    ("crash_limit", "3"),
    ("cleared_contents", "[\"00000000000000000000000000000abc\"]"),
    ("log_level", "\"debug\""),
];

fn text_of(keys: &[(&str, &str)]) -> String {
    let lines = keys.iter().map(|(key, value)| format!("{key} = {value}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// The faults of a file in which every key has a value that no key takes.
fn faults_of_all<T: std::fmt::Debug>(
    keys: &[(&str, &str)],
    parse: impl Fn(&str) -> Result<T, SettingFaults>,
) -> String {
    let wrong: Vec<(&str, &str)> = keys.iter().map(|(key, _)| (*key, "{}")).collect();
    parse(&text_of(&wrong)).unwrap_err().to_string()
}

#[test]
fn every_key_is_known_and_checked() {
    assert!(DaemonSettings::parse(&text_of(DAEMON)).is_ok());
    assert!(RouterSettings::parse(&text_of(ROUTER_ON_PLATFORM)).is_ok());
    let daemon = faults_of_all(DAEMON, DaemonSettings::parse);
    let router = faults_of_all(ROUTER_ON_PLATFORM, RouterSettings::parse);
    assert_eq!(daemon.lines().count(), DAEMON.len());
    assert_eq!(router.lines().count(), ROUTER_ON_PLATFORM.len());
    insta::assert_snapshot!(format!(
        "== cloverpierd\n{daemon}\n== cloverpier-front\n{router}"
    ));
}

#[test]
fn what_may_be_left_out_has_its_default() {
    let needed = [
        "vm",
        "data_centre",
        "callers_listen",
        "ready_listen",
        "directory_listen",
        "peers_listen",
        "store",
    ];
    let keys = ROUTER_ON_PLATFORM
        .iter()
        .filter(|(key, _)| needed.contains(key));
    let settings = RouterSettings::parse(&text_of(&keys.copied().collect::<Vec<_>>())).unwrap();
    insta::assert_debug_snapshot!((
        settings.grace,
        settings.directory_keep,
        settings.heartbeat,
        settings.backups,
        settings.retry.ratio,
        settings.retry.slack,
        settings.retry.window,
        settings.silence.ask_after,
        settings.silence.ask_before_first,
        settings.silence.answer_within,
        settings.silence.answer_before_first,
        settings.log_level,
    ));
    assert_eq!(
        (settings.crashes.limit.0, settings.crashes.cleared.len()),
        (3, 0)
    );
    assert_eq!(settings.silence.stuck_after.as_millis(), 1_000);
    assert_eq!(settings.silence.stuck_before_first.as_millis(), 5_000);
}
