//! Golden files of the messages between routers of `cloverpierd` and of its stored objects.
//!
//! They guard against an encoding that routers of an earlier release can't decode. Messages are
//! compared as bytes, stored objects as JSON; each is also decoded again.

use cloverpier_admit::{Quota, QuotaGrant};
use cloverpier_answer::{
    AppendReply, AttemptId, BatchHeader, EventId, Finish, FinishReason, ResponseCopy, SealReply,
    TokenBatch, TokenSource,
};
use cloverpier_config::{Account, Config, Part, Repeatable, Root, Service, Upstream, split};
use cloverpier_core::{MemberId, RequestKey, TokenDigest};
use cloverpier_crashes::prelude::*;
use cloverpier_member::{Member, MemberList};
use cloverpier_peer::prelude::*;
use cloverpier_record::{ClaimId, ClaimReply, Outcome, Record, Slot, StoredResponse, SyncReply};
use cloverpier_route::{LeaveMark, LeaveMarks};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::{Debug, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn versions() -> Versions {
    Versions {
        member: MemberId::new("vm-1~7"),
        peers_at: address(7201),
        epoch: 11,
        config: 12,
        marks: 13,
        crashes: 0,
    }
}

fn member(n: u16) -> Member {
    Member::new(
        &format!("vm-{n}"),
        7,
        "hall-a",
        address(7200 + n),
        address(7100 + n),
    )
}

fn members() -> MemberList {
    let list = MemberList::default();
    let list = list.with_all_joined(vec![member(1), member(2)]);
    let list = list.with_joined(member(3)).with_stopping(&member(2).id);
    list.without(&[member(1).id].into())
}

fn finish() -> Finish {
    Finish {
        tokens: 3,
        chain: TokenDigest::of_tokens(["a", "b", "c"]),
        reason: FinishReason::Length,
    }
}

fn source() -> TokenSource {
    TokenSource {
        upstream: "e1".into(),
        attempt: AttemptId {
            term: 21,
            opener: 22,
            number: 23,
        },
    }
}

fn tokens() -> Vec<Arc<str>> {
    vec![" a".into(), " b".into()]
}

fn entries() -> Vec<TokenBatch> {
    let first = TokenBatch {
        key: RequestKey::new("lab/17"),
        term: 31,
        header: Some(BatchHeader {
            body_digest: 32,
            source: Some(source()),
        }),
        offset: 0,
        tokens: tokens(),
        finish: None,
    };
    let last = TokenBatch {
        header: None,
        offset: 2,
        finish: Some(finish()),
        ..first.clone()
    };
    vec![first, last]
}

fn claim() -> ClaimId {
    ClaimId {
        router: MemberId::new("vm-2~7"),
        number: 41,
    }
}

fn record(outcome: Outcome) -> Record {
    Record {
        key: RequestKey::new("lab/18"),
        claim: claim(),
        request_digest: 42,
        outcome,
        age_ms: 43,
    }
}

fn done_outcome() -> Outcome {
    Outcome::Done(StoredResponse {
        status: 201,
        content_type: Some("text/plain".into()),
        body: Some(b"ok".to_vec()),
    })
}

fn marks() -> LeaveMarks {
    let mut marks = LeaveMarks::default();
    for (name, incarnation) in [("e1", 1), ("e2", 5)] {
        marks.add(&LeaveMark {
            upstream: name.into(),
            incarnation,
        });
    }
    marks
}

fn config() -> Config {
    let mut config = Config::default();
    config
        .services
        .insert("drafts".into(), Service::model("draft-7b"));
    config
        .services
        .insert("status".into(), Service::plain(Repeatable::Reads));
    let upstream = Upstream::new("drafts".into(), address(9000), "hall-a".into());
    config.upstreams.insert("e1".into(), upstream);
    let account = Account::new("lab.secret", vec!["drafts".into()]);
    config.accounts.insert("lab".into(), Arc::new(account));
    config
}

fn parts() -> Vec<Part> {
    let parts = split(&config()).into_iter();
    parts.filter(|p| *p != Part::default()).collect()
}

fn requests() -> Vec<PeerRequest> {
    let quota = |n: f64| Quota {
        requests: n,
        tokens: n * 100.0,
    };
    let key = RequestKey::new("lab/17");
    vec![
        PeerRequest::Heartbeat {
            versions: versions(),
        },
        PeerRequest::Join { member: member(3) },
        PeerRequest::RequestQuota {
            account: "lab".into(),
            need: quota(1.0),
            want: quota(2.5),
        },
        PeerRequest::Probe {
            peers_at: address(7202),
        },
        PeerRequest::Append {
            owner: MemberId::new("vm-1~7"),
            entries: entries(),
        },
        PeerRequest::Seal {
            key: key.clone(),
            term: 51,
            owner: MemberId::new("vm-3~7"),
        },
        PeerRequest::StoreLocations {
            locations: vec![CopyLocation {
                key: key.clone(),
                holder: MemberId::new("vm-2~7"),
            }],
        },
        PeerRequest::Locate { key: key.clone() },
        PeerRequest::Claim {
            epoch: 52,
            key: key.clone(),
            body: 53,
            claim: claim(),
        },
        PeerRequest::RecordOutcome {
            key: key.clone(),
            claim: claim(),
            outcome: done_outcome(),
        },
        PeerRequest::Release {
            key,
            claim: claim(),
        },
        PeerRequest::Sync {
            slot: Slot::of("lab/17"),
            level: 54,
            epoch: 55,
        },
        PeerRequest::PullMembers,
        PeerRequest::PullRoot,
        PeerRequest::PullParts {
            digests: parts().iter().map(Part::digest).collect(),
        },
        PeerRequest::LeaveMarks { marks: marks() },
    ]
}

fn replies() -> Vec<PeerReply> {
    let held = ResponseCopy {
        term: 61,
        owner: MemberId::new("vm-1~7"),
        body_digest: 62,
        source: Some(source()),
        tokens: tokens(),
        finish: Some(finish()),
    };
    let guest = Guest {
        member: MemberId::new("vm-9~1"),
        peers_at: address(7209),
    };
    vec![
        PeerReply::Heartbeat {
            versions: versions(),
            guests: vec![guest],
        },
        PeerReply::QuotaGrant(QuotaGrant::Granted(Quota {
            requests: 1.5,
            tokens: 2.5,
        })),
        PeerReply::QuotaGrant(QuotaGrant::Exhausted { wait_ms: 63 }),
        PeerReply::Probed { reached: true },
        PeerReply::Appended(vec![
            AppendReply::Held {
                tokens: 64,
                finished: true,
            },
            AppendReply::Gap { tokens: 65 },
            AppendReply::Sealed { term: 66 },
        ]),
        PeerReply::Seal(SealReply::Sealed { held: Some(held) }),
        PeerReply::Seal(SealReply::Sealed { held: None }),
        PeerReply::Seal(SealReply::Refused { term: 67 }),
        PeerReply::Located {
            holder: Some(MemberId::new("vm-2~7")),
        },
        PeerReply::Claim(ClaimReply::Written),
        PeerReply::Claim(ClaimReply::Taken(record(Outcome::Claimed))),
        PeerReply::Claim(ClaimReply::OtherEpoch { epoch: 68 }),
        PeerReply::Claim(ClaimReply::NotReady { retry_ms: 69 }),
        PeerReply::Sync(SyncReply::Records(vec![
            record(Outcome::Unknown),
            record(done_outcome()),
        ])),
        PeerReply::Sync(SyncReply::NoClaims),
        PeerReply::Sync(SyncReply::Unknown),
        PeerReply::Sync(SyncReply::Behind),
        PeerReply::Members(members()),
        PeerReply::Root(root()),
        PeerReply::Parts(parts()),
        PeerReply::LeaveMarks(marks()),
        PeerReply::Acknowledged,
    ]
}

fn root() -> Root {
    let plan = cloverpier_config::PlanId::new("p-1");
    Root::default().next(&plan, &parts())
}

/// Encodes a message, checks that decoding gives the message back, and returns the bytes as text:
/// printable ASCII as is, other bytes as `\` and two hexadecimal digits.
#[track_caller]
fn encode_to_text<T: Serialize + DeserializeOwned + Debug>(message: &T) -> String {
    let bytes = encode(message).unwrap();
    let decoded: T = decode(&bytes).unwrap();
    assert_eq!(
        format!("{decoded:?}"),
        format!("{message:?}"),
        "the decoded message differs"
    );
    let shown = bytes.iter().map(|b| match b {
        0x20..=0x7e if *b != b'\\' => char::from(*b).to_string(),
        _ => format!("\\{b:02x}"),
    });
    shown.collect()
}

fn crash_reports() -> Vec<ContentReport> {
    let crash = ReportedCrash {
        id: CrashId {
            upstream: 21,
            time_ms: 1_790_000_000_000,
        },
        age_ms: 1_900,
        ran_ms: 70,
        context: CrashContext {
            others_in_service: 23,
            others_in_data_centre: 5,
            concurrent_failures: ConcurrentFailures::of([(91, false)]),
        },
        is_disregarded: true,
    };
    vec![ContentReport {
        content: ContentKey::parse("0102030405060708090a0b0c0d0e0f10").unwrap(),
        crashes: vec![crash],
    }]
}

/// Routers of earlier releases don't have these messages, so their bytes are in a golden file of
/// their own.
#[test]
fn crash_report_messages_keep_their_bytes() {
    let versions = Versions {
        crashes: 14,
        ..versions()
    };
    let reports = crash_reports();
    let mut text = encode_to_text(&PeerRequest::Heartbeat { versions });
    text += &encode_to_text(&PeerRequest::CrashReports {
        reports: reports.clone(),
    });
    text += &encode_to_text(&PeerReply::CrashReports(reports));
    insta::assert_snapshot!(text);
}

#[test]
fn messages_between_routers_keep_their_bytes() {
    let mut text = String::new();
    for request in requests() {
        let _ = writeln!(text, "{}", encode_to_text(&request));
    }
    for reply in replies() {
        let _ = writeln!(text, "{}", encode_to_text(&reply));
    }
    insta::assert_snapshot!(text);
}

#[track_caller]
fn encode_to_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    stored: &T,
) -> String {
    let json = serde_json::to_string_pretty(stored).unwrap();
    assert_eq!(&serde_json::from_str::<T>(&json).unwrap(), stored, "{name}");
    format!("== {name}\n{json}\n")
}

#[test]
fn stored_objects_keep_their_form() {
    let mut text = encode_to_json("members", &members());
    text += &encode_to_json("root", &root());
    for part in parts() {
        text += &encode_to_json("part", &part);
    }
    text += &encode_to_json("marks", &marks());
    insta::assert_snapshot!(text);
}

#[test]
fn event_ids_keep_their_form() {
    let id = EventId {
        tokens: 3,
        chain: TokenDigest::of_tokens(["a", "b", "c"]),
        holder: Some(MemberId::new("vm-2~7")),
    };
    assert_eq!(EventId::parse(&id.to_string()), Some(id.clone()));
    let without = EventId {
        holder: None,
        ..id.clone()
    };
    insta::assert_snapshot!(format!("{id}\n{without}"));
}
