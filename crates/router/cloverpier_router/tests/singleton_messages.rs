//! Wire format of the messages of the singleton work between routers.
//!
//! Each golden file must decode to the value in its test, and the value must encode to the bytes of the file. Routers
//! of different releases exchange these messages, so a change of the bytes would break them during an upgrade.

use cloverpier_core::AccountName;
use cloverpier_router::peer_messages::{FleetReport, LeaseUpdate, PeerMessage, decode, encode};
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::prelude::ServiceKey;
use cloverpier_router_policy::singleton::autoscaling::ServiceLoad;
use cloverpier_router_policy::singleton::lease::RecordVersion;
use cloverpier_router_policy::singleton::metering::{MAX_COUNTS_PER_REPORT, ReportedWindow};
use std::net::SocketAddr;

#[track_caller]
fn assert_matches_golden(name: &str, text: &str, message: &PeerMessage) {
    let digits: String = text.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(2);
    let bytes = starts.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
    let bytes: Vec<u8> = bytes.collect();
    assert_eq!(
        &decode::<PeerMessage>(&bytes).unwrap(),
        message,
        "decoding {name} gives another message"
    );
    assert_eq!(
        encode(message).unwrap(),
        bytes,
        "encoding the message gives other bytes than {name}"
    );
}

fn sender() -> SocketAddr {
    ([127, 0, 0, 1], 7104).into()
}

fn report(windows: Vec<ReportedWindow>) -> FleetReport {
    let load = ServiceLoad {
        streams: 7,
        memory_tokens: 70_000,
    };
    FleetReport {
        sender: sender(),
        incarnation: 0x0102_0304_0506_0708,
        started: 1_790_000_000_000,
        wall_ms: 1_790_000_012_345,
        windows,
        loads: vec![(ServiceKey(21), load)],
    }
}

#[test]
fn fleet_report_matches_golden_bytes() {
    let counts = vec![
        (AccountName::new("lab"), 3),
        (AccountName::new("desk"), 300),
    ];
    let message = PeerMessage::FleetReport(report(vec![(358_000_002, counts)]));
    assert_matches_golden(
        "fleet_report",
        include_str!("golden/fleet_report.hex"),
        &message,
    );
}

#[test]
fn lease_update_matches_golden_bytes() {
    let message = PeerMessage::LeaseUpdate(LeaseUpdate {
        sender: sender(),
        version: RecordVersion {
            era: 2,
            revision: Some(530),
        },
        token: 12,
        undecided: 358_000_001,
        fleet_ms: 1_790_000_012_345,
    });
    assert_matches_golden(
        "lease_update",
        include_str!("golden/lease_update.hex"),
        &message,
    );
}

#[test]
fn largest_fleet_report_fits_into_a_datagram() {
    let count = |n: usize| (AccountName::new(format!("{n:064}")), u32::MAX);
    let windows = vec![(u64::MAX, (0..MAX_COUNTS_PER_REPORT).map(count).collect())];
    let bytes = encode(&PeerMessage::FleetReport(report(windows))).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
}
