//! The encoding of messages in large fleets, and their maximum size.
//!
//! Each golden file has to decode to the value in its test, and the value has to encode to the same bytes.
//! Otherwise routers of different releases can't decode each other's messages. The longest messages have to
//! fit into a datagram.

use cloverpier_core::DataCentre;
use cloverpier_router::peer_messages::{
    Gossip, Members, PeerMessage, UpstreamUpdate, decode, encode,
};
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::membership::{
    MEMBERS_PER_MESSAGE, MemberState, MemberUpdate, UPDATES_PER_MESSAGE,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::watcher_reports::WatcherReport;
use std::net::SocketAddr;

#[track_caller]
fn assert_is_golden(golden_hex: &str, message: &PeerMessage) {
    let digits: String = golden_hex.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(2);
    let bytes = starts.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
    let bytes: Vec<u8> = bytes.collect();
    assert_eq!(&decode::<PeerMessage>(&bytes).unwrap(), message);
    assert_eq!(encode(message).unwrap(), bytes);
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn update(port: u16, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        router: address(port),
        callers: address(port + 1),
        data_centre: DataCentre::new("hall-a"),
        state,
        stamp: 1_790_000_000_000,
    }
}

fn gossip() -> Gossip {
    Gossip {
        sender: update(7104, MemberState::Alive(PeerState::Ready)),
        wants_reply: true,
        members: 985,
        digest: 0x0102_0304_0506_0708,
        configuration_version: 7,
        upstreams_revision: 530,
        watchers: vec![WatcherReport {
            router: address(7204),
            number: 12,
            store_age_ms: 250,
        }],
        suspects: vec![UpstreamKey(21)],
        budget_use: vec![(
            ServiceKey(3),
            BudgetUse {
                requests: 40,
                retries: 2,
            },
        )],
        updates: vec![
            update(7304, MemberState::Dead),
            update(7404, MemberState::Alive(PeerState::Starting)),
            update(7504, MemberState::Alive(PeerState::Leaving)),
        ],
    }
}

#[test]
fn gossip_keeps_its_encoding() {
    let message = PeerMessage::Gossip(gossip());
    assert_is_golden(include_str!("golden/gossip.hex"), &message);
}

#[test]
fn members_and_their_request_keep_their_encoding() {
    let message = PeerMessage::Members(Members {
        sender: address(7104),
        members: vec![update(7304, MemberState::Dead)],
    });
    assert_is_golden(include_str!("golden/members.hex"), &message);
    let request = PeerMessage::MembersRequest(address(7104));
    assert_is_golden(include_str!("golden/ask_members.hex"), &request);
}

#[test]
fn upstream_updates_keep_their_encoding() {
    let message = PeerMessage::UpstreamUpdate(UpstreamUpdate {
        sender: address(7104),
        after: 529,
        revision: 530,
        changes: vec![UpstreamChange::Gone("server-1".into())],
    });
    assert_is_golden(include_str!("golden/upstream_update.hex"), &message);
}

/// An update with addresses and a stamp of maximum encoded size, and with a data centre's name of 20 bytes.
fn longest() -> MemberUpdate {
    let address: SocketAddr = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
        .parse()
        .unwrap();
    MemberUpdate {
        router: address,
        callers: address,
        data_centre: DataCentre::new("d".repeat(20)),
        state: MemberState::Alive(PeerState::Starting),
        stamp: u64::MAX,
    }
}

#[test]
fn the_longest_messages_fit_into_a_datagram() {
    let members = vec![longest(); MEMBERS_PER_MESSAGE];
    let sender = longest().router;
    let message = PeerMessage::Members(Members { sender, members });
    assert!(encode(&message).unwrap().len() <= MAX_DATAGRAM);
    let message = PeerMessage::Gossip(Gossip {
        // A reply contains a sample of members in addition to the updates.
        updates: vec![longest(); 2 * UPDATES_PER_MESSAGE],
        suspects: vec![UpstreamKey(u64::MAX); 16],
        ..gossip()
    });
    assert!(encode(&message).unwrap().len() <= MAX_DATAGRAM);
}
