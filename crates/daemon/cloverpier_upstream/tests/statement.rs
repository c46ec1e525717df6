//! Tests of reading an upstream's announcements from the status and headers of its response.

use cloverpier_upstream::UpstreamStatement;
use reqwest::StatusCode;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

fn statement_with_header(status: StatusCode, name: &'static str, value: &str) -> UpstreamStatement {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(value).unwrap();
    headers.insert(HeaderName::from_static(name), value);
    UpstreamStatement::from_headers(status, &headers)
}

#[test]
fn only_the_upstream_leaving_header_announces_leaving() {
    for status in [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE] {
        assert!(statement_with_header(status, "upstream-leaving", "1").is_leaving);
    }
    assert!(!statement_with_header(StatusCode::OK, "upstream-leaving", "0").is_leaving);
    assert!(!statement_with_header(StatusCode::OK, "connection", "close").is_leaving);
}

#[test]
fn a_pause_is_read_from_retry_after_in_fractional_seconds_of_status_503_only() {
    let pause = |text| statement_with_header(StatusCode::SERVICE_UNAVAILABLE, "retry-after", text);
    assert_eq!(pause("1.5").wait, Some(Duration::from_millis(1_500)));
    assert_eq!(pause("1e30").wait, Some(Duration::MAX));
    for text in ["-1", "soon", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        let statement = pause(text);
        assert!(
            statement.wait.is_none() && statement.unreadable.is_some(),
            "{text}"
        );
    }
    let busy = StatusCode::TOO_MANY_REQUESTS;
    assert_eq!(
        statement_with_header(busy, "retry-after", "2"),
        UpstreamStatement::default()
    );
}
