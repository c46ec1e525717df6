//! What an upstream's answer says of the upstream, as it is read off status and headers.

use cloverpier_upstream::UpstreamStatement;
use reqwest::StatusCode;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

fn read(status: StatusCode, name: &'static str, value: &str) -> UpstreamStatement {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(value).unwrap();
    headers.insert(HeaderName::from_static(name), value);
    UpstreamStatement::read(status, &headers)
}

#[test]
fn a_leaving_is_said_by_one_header_alone() {
    for status in [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE] {
        assert!(read(status, "upstream-leaving", "1").is_leaving);
    }
    assert!(!read(StatusCode::OK, "upstream-leaving", "0").is_leaving);
    assert!(!read(StatusCode::OK, "connection", "close").is_leaving);
}

#[test]
fn a_wait_is_in_seconds_with_fractions_and_said_as_a_request_is_turned_away() {
    let wait = |text| read(StatusCode::SERVICE_UNAVAILABLE, "retry-after", text);
    assert_eq!(wait("1.5").wait, Some(Duration::from_millis(1_500)));
    assert_eq!(wait("1e30").wait, Some(Duration::MAX));
    for text in ["-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let said = wait(text);
        assert!(said.wait.is_none() && said.unreadable.is_some(), "{text}");
    }
    let busy = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(read(busy, "retry-after", "2"), UpstreamStatement::default());
}
