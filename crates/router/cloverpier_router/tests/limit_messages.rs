//! The bytes of the messages on limits of upstreams, and that as many reports as one message holds fit
//! into a datagram.
//!
//! Each golden file must decode to the value below, and the value must encode to it: routers of other
//! releases read these bytes.

use cloverpier_router::peer_messages::{
    LimitReports, LimiterReply, LimiterRequest, PeerMessage, decode, encode,
};
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::limit::{LimitReport, Rate, in_messages};
use cloverpier_router_policy::permit::{HandedOut, PermitRefusal, PermitReply, PermitRequest};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::net::SocketAddr;
use std::time::Duration;

#[track_caller]
fn assert_is_golden(text: &str, message: &PeerMessage) {
    let digits: String = text.split_whitespace().collect();
    let starts = (0..digits.len()).step_by(2);
    let bytes = starts.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap());
    let bytes: Vec<u8> = bytes.collect();
    let written = encode(message).unwrap();
    let hex: String = written.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written, bytes, "{hex}");
    assert_eq!(&decode::<PeerMessage>(&bytes).unwrap(), message);
}

fn sender() -> SocketAddr {
    ([127, 0, 0, 1], 7104).into()
}

fn report(upstream: u64, rate: Option<f64>) -> LimitReport {
    LimitReport {
        upstream: UpstreamKey(upstream),
        born_ms: Some(1_790_000_000_000),
        rate: rate.and_then(Rate::per_second),
        sent_age_ms: 40,
        heard_age_ms: 12,
    }
}

#[test]
fn limits_keep_their_bytes() {
    let news = LimitReports {
        sender: sender(),
        limits: vec![report(21, Some(1.5)), report(22, None)],
    };
    let golden = include_str!("golden/limits.hex");
    assert_is_golden(golden, &PeerMessage::LimitReports(news));
}

#[test]
fn asks_for_permits_keep_their_bytes() {
    let ask = LimiterRequest {
        sender: sender(),
        request: PermitRequest {
            number: 77,
            upstream: UpstreamKey(21),
            count: 1,
            max_wait: Duration::from_millis(40),
            limit: Some(report(21, Some(1.5))),
        },
    };
    let golden = include_str!("golden/limit_ask.hex");
    assert_is_golden(golden, &PeerMessage::LimiterRequest(ask));
}

#[test]
fn answers_to_asks_keep_their_bytes() {
    let reply = LimiterReply {
        sender: sender(),
        reply: PermitReply {
            number: 77,
            upstream: UpstreamKey(21),
            handed_out: Some(HandedOut {
                waits: vec![Duration::from_millis(20)],
                refusal: Some(PermitRefusal {
                    next: Duration::from_millis(680),
                    retry: Duration::from_millis(1_360),
                    turn: Duration::from_millis(5_440),
                }),
            }),
            limit: None,
        },
    };
    let golden = include_str!("golden/limit_reply.hex");
    assert_is_golden(golden, &PeerMessage::LimiterReply(reply));
}

#[test]
fn as_many_limits_as_one_message_holds_fit_into_a_datagram() {
    let longest = LimitReport {
        upstream: UpstreamKey(u64::MAX),
        born_ms: Some(u64::MAX),
        rate: Rate::per_second(1_000_000.0),
        sent_age_ms: u32::MAX,
        heard_age_ms: u32::MAX,
    };
    let messages = in_messages(&[longest; 500]);
    assert!(messages.len() > 1);
    for limits in messages {
        let news = LimitReports {
            sender: ([0xffff; 8], u16::MAX).into(),
            limits,
        };
        let bytes = encode(&PeerMessage::LimitReports(news)).unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    }
}
