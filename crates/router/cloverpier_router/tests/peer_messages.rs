//! The encoding of messages between routers in small and large fleets.
//!
//! Each golden file has to decode to the value in its test, and the value has to encode to the same bytes.
//! Otherwise routers of different releases can't decode each other's messages.

use cloverpier_core::{DataCentre, ServiceName, SoftwareVersion, UpstreamName};
use cloverpier_crashes::prelude::*;
use cloverpier_router::peer_messages::*;
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::leaving::split_into_messages;
use cloverpier_router_policy::list_digest::ListDigest;
use cloverpier_router_policy::list_evidence::ListReport;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::{
    Arm, EvidenceKey, EvidenceReport, Measure, ResponseCounts, RouteKey, SentCounts,
};
use cloverpier_router_policy::rollout::{OrderId, Permille};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

fn golden(name: &str) -> Vec<u8> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let text = std::fs::read_to_string(dir.join(format!("{name}.hex"))).unwrap();
    let digits: String = text.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(2);
    let bytes = starts.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
    bytes.collect()
}

#[track_caller]
fn assert_is_golden<T: Serialize + DeserializeOwned + Debug + PartialEq>(name: &str, value: &T) {
    let bytes = golden(name);
    assert_eq!(&decode::<T>(&bytes).unwrap(), value, "decoding {name}");
    assert_eq!(encode(value).unwrap(), bytes, "encoding {name}");
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn load() -> Vec<LoadReport> {
    vec![
        LoadReport {
            upstream: UpstreamKey(21),
            requests: 22,
            unread_tokens: 23,
            memory_tokens: 24,
        },
        LoadReport {
            upstream: UpstreamKey(0x0102_0304_0506_0708),
            requests: 0,
            unread_tokens: 70_000,
            memory_tokens: 300,
        },
    ]
}

fn prompt_locations() -> Vec<(PromptKey, UpstreamKey)> {
    vec![(PromptKey(31), UpstreamKey(32))]
}

fn heartbeat(state: PeerState, store_age_ms: Option<u32>) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        sender: address(7104),
        callers: address(7101),
        data_centre: DataCentre::new("hall-a"),
        state,
        configuration_version: 11,
        upstreams_revision: 12,
        store_age_ms,
        load: load(),
        suspects: vec![UpstreamKey(25), UpstreamKey(26)],
        prompt_locations: prompt_locations(),
        known_peers: vec![address(7204), "[::1]:7304".parse().unwrap()],
        budget_use: vec![(
            ServiceKey(41),
            BudgetUse {
                requests: 42,
                retries: 43,
            },
        )],
    })
}

#[test]
fn heartbeats_keep_their_encoding() {
    let ready = heartbeat(PeerState::Ready, Some(13));
    assert_is_golden("heartbeat_ready", &ready);
    let starting = heartbeat(PeerState::Starting, None);
    assert_is_golden("heartbeat_starting", &starting);
    let leaving = heartbeat(PeerState::Leaving, Some(70_000));
    assert_is_golden("heartbeat_leaving", &leaving);
}

#[test]
fn changes_keep_their_encoding() {
    let change = PeerMessage::Change(Change {
        sender: address(7104),
        load: load(),
        suspects: vec![UpstreamKey(25)],
        prompt_locations: prompt_locations(),
    });
    assert_is_golden("change", &change);
}

fn upstream(number: u16) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("e{number}")),
        service: ServiceName::new("drafts"),
        address: address(7_000 + number),
        data_centre: DataCentre::new("hall-b"),
        slots: 64,
        draining: number == 2,
        start: None,
    }
}

#[test]
fn successors_keep_their_encoding() {
    let successor = PeerMessage::Successor(Successor {
        sender: address(7104),
        predecessor: UpstreamName::new("e0"),
        upstream: upstream(1),
    });
    assert_is_golden("successor", &successor);
    let replaced = PeerMessage::ReplacedUpstream(ReplacedUpstream {
        sender: address(7104),
        predecessor: UpstreamName::new("e0"),
    });
    assert_is_golden("replaced", &replaced);
}

#[test]
fn upstreams_replies_keep_their_encoding() {
    let list = UpstreamsReply::List {
        upstreams: vec![upstream(1), upstream(2)],
        revision: 300,
        rollouts: Vec::new(),
    };
    assert_is_golden("upstreams_list", &list);
    let changes = UpstreamsReply::Changes {
        changes: vec![
            UpstreamChange::Listed(upstream(2)),
            UpstreamChange::Gone(UpstreamName::new("e3")),
        ],
        revision: 301,
        rollouts: Vec::new(),
    };
    assert_is_golden("upstreams_changes", &changes);
}

/// An entry with a software version and, if given, a start time.
fn upstream_with_start(number: u16, start_time_ms: Option<u64>) -> Upstream {
    let version = SoftwareVersion::new("v2");
    Upstream {
        start: Some(UpstreamStart {
            version,
            start_time_ms,
        }),
        ..upstream(number)
    }
}

#[test]
fn starts_are_encoded_only_in_the_form_with_starts() {
    let list = UpstreamsReply::List {
        upstreams: vec![
            upstream_with_start(1, Some(1_790_000_000_123)),
            upstream_with_start(2, None),
        ],
        revision: 300,
        rollouts: Vec::new(),
    };
    assert_is_golden("upstreams_list_with_starts", &list);
    // Releases that can't decode starts receive the same bytes as before the field was added.
    let without_starts = UpstreamsReply::List {
        upstreams: vec![
            upstream_with_start(1, Some(1_790_000_000_123)).without_start(),
            upstream_with_start(2, None).without_start(),
        ],
        revision: 300,
        rollouts: Vec::new(),
    };
    assert_is_golden("upstreams_list", &without_starts);
}

fn rollout_view() -> RolloutView {
    RolloutView {
        service: ServiceName::new("drafts"),
        revision: 70,
        order: Some(RolloutOrder {
            id: OrderId(71),
            target: SoftwareVersion::new("v2"),
            duration: Duration::from_secs(12),
        }),
        progress: Progress {
            stage: Stage::Load,
            share: Permille::from_fraction(0.25),
            round: 3,
            is_confirmed: false,
        },
    }
}

#[test]
fn rollout_reports_and_evidence_keep_their_encoding() {
    let withdrawn = RolloutView {
        order: None,
        ..rollout_view()
    };
    let message = PeerMessage::RolloutReports(RolloutReports {
        sender: address(7104),
        views: vec![rollout_view(), withdrawn],
    });
    assert_is_golden("rollouts", &message);
    let mut counts = ResponseCounts {
        failed: 4,
        ..ResponseCounts::default()
    };
    counts.times.add(Duration::from_millis(30));
    counts.pending.add(Duration::from_millis(120));
    let key = EvidenceKey {
        route: RouteKey(81),
        measure: Measure::Response,
        arm: Arm::Target(5),
    };
    let evidence = PeerMessage::RolloutEvidence(RolloutEvidence {
        sender: address(7104),
        report: EvidenceReport {
            order: OrderId(71),
            stage: Stage::Load,
            previous_in_flight: 2,
            sent: SentCounts {
                previous: 300,
                target: 20,
            },
            entries: vec![(key, counts)],
        },
    });
    assert_is_golden("rollout_evidence", &evidence);
}

#[test]
fn crash_reports_keep_their_encoding() {
    let crash_id = |upstream, time_ms| CrashId { upstream, time_ms };
    let few = [(91, false), (92, true)];
    let crashes = vec![
        ReportedCrash {
            id: crash_id(21, 1_790_000_000_000),
            age_ms: 1_900,
            ran_ms: 70,
            context: CrashContext {
                others_in_service: 23,
                others_in_data_centre: 5,
                concurrent_failures: ConcurrentFailures::of(few),
            },
            is_disregarded: false,
        },
        ReportedCrash {
            id: crash_id(22, 0),
            age_ms: 3_000_000,
            ran_ms: 80_000,
            context: CrashContext {
                others_in_service: 279,
                others_in_data_centre: 69,
                concurrent_failures: ConcurrentFailures::Many,
            },
            is_disregarded: true,
        },
    ];
    let content = ContentKey::parse("0102030405060708090a0b0c0d0e0f10").unwrap();
    let message = PeerMessage::CrashReports(CrashReports {
        sender: address(7104),
        contents: vec![ContentReport { content, crashes }],
    });
    assert_is_golden("crashes", &message);
}

#[test]
fn leaving_reports_keep_their_encoding() {
    let upstreams = vec![
        LeavingReport {
            upstream: UpstreamKey(0x0102_0304_0506_0708),
            start_time_ms: Some(1_790_000_000_000),
            age_ms: 1_900,
        },
        LeavingReport {
            upstream: UpstreamKey(21),
            start_time_ms: None,
            age_ms: 0,
        },
    ];
    let message = PeerMessage::LeavingReports(LeavingReports {
        sender: address(7104),
        upstreams,
    });
    assert_is_golden("leavings", &message);
}

#[test]
fn a_list_report() {
    let message = PeerMessage::ListReport(ListReportMessage {
        sender: address(7104),
        report: ListReport {
            revision: 530,
            digest: ListDigest::default(),
            read_age_ms: 250,
        },
    });
    assert_is_golden("list_report", &message);
}

#[test]
fn the_longest_leaving_reports_fit_into_a_datagram() {
    let longest = LeavingReport {
        upstream: UpstreamKey(u64::MAX),
        start_time_ms: Some(u64::MAX),
        age_ms: u32::MAX,
    };
    for upstreams in split_into_messages(&[longest; 820]) {
        let sender = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
            .parse()
            .unwrap();
        let bytes = encode(&PeerMessage::LeavingReports(LeavingReports {
            sender,
            upstreams,
        }))
        .unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    }
}

fn route(name: &str, streaming: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: "ledger.example".to_owned(),
        prefix: format!("/{name}/"),
        streaming,
        resumable: streaming,
        safe: !streaming,
        timeout: Duration::from_millis(1_250),
        objective: Duration::from_millis(400),
        gap_objective: streaming.then_some(Duration::from_millis(700)),
        priority: 3,
        max_attempts: 4,
        public: !streaming,
        targets: vec![
            RouteTarget {
                service: ServiceName::new("drafts"),
                weight: 0.75,
            },
            RouteTarget {
                service: ServiceName::new("lookups"),
                weight: 0.25,
            },
        ],
    }
}

fn services() -> Vec<ServiceConfig> {
    vec![
        ServiceConfig {
            name: ServiceName::new("drafts"),
            health_path: "/health".to_owned(),
            max_connections: 32,
            engine: Some(EngineConfig {
                memory_tokens: 88_000,
                replicates_kv: true,
            }),
        },
        ServiceConfig {
            name: ServiceName::new("lookups"),
            health_path: "/".to_owned(),
            max_connections: 8,
            engine: None,
        },
    ]
}

fn accounts() -> Vec<ClientAccount> {
    vec![
        ClientAccount {
            name: "lab".to_owned(),
            priority: Some(2),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
        },
        ClientAccount {
            name: "desk".to_owned(),
            priority: None,
            keys: vec![],
        },
    ]
}

#[test]
fn configurations_keep_their_encoding() {
    let configuration = Configuration {
        version: 17,
        routes: vec![route("drafts", true), route("status", false)],
        services: services(),
        accounts: Some(accounts()),
        limits: Limits {
            header_bytes: 9_000,
            body_bytes: 80_000,
            header_timeout: Duration::from_millis(2_500),
            idle_timeout: Duration::from_secs(12),
        },
    };
    assert_is_golden("configuration", &configuration);
    let without_accounts = Configuration::default();
    assert_is_golden("configuration_without_accounts", &without_accounts);
}
