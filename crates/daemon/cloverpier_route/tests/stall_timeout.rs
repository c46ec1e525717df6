//! Tests of the timeout for the next token of a stream.

use cloverpier_route::StallTimeout;
use quickcheck::quickcheck;
use std::time::Duration;

const MAX: Duration = Duration::from_millis(1_000);

fn timeout_after(gaps_ms: &[u64], adaptive: bool) -> StallTimeout {
    let mut timeout = StallTimeout::new(MAX, adaptive);
    for gap in gaps_ms {
        timeout.on_gap(Duration::from_millis(*gap));
    }
    timeout
}

#[test]
fn a_steady_stream_has_a_shorter_timeout_than_the_setting() {
    assert_eq!(
        timeout_after(&[20; 50], true).next_token(),
        Duration::from_millis(250)
    );
    let slow = timeout_after(&[72; 50], true).next_token();
    assert!(
        slow > Duration::from_millis(400) && slow < Duration::from_millis(450),
        "{slow:?}"
    );
}

#[test]
fn a_stream_with_few_gaps_or_a_fixed_timeout_has_the_timeout_of_the_setting() {
    assert_eq!(timeout_after(&[20; 7], true).next_token(), MAX);
    assert_eq!(timeout_after(&[20; 50], false).next_token(), MAX);
    assert_eq!(timeout_after(&[], true).first_token(), MAX * 4);
}

#[test]
fn an_uneven_stream_has_a_long_timeout() {
    let uneven: Vec<u64> = (0..60).map(|i| if i % 5 == 0 { 400 } else { 20 }).collect();
    assert!(timeout_after(&uneven, true).next_token() > Duration::from_millis(700));
}

quickcheck! {
    fn the_timeout_stays_within_its_limits(gaps_ms: Vec<u16>) -> bool {
        let gaps: Vec<u64> = gaps_ms.iter().map(|g| u64::from(*g)).collect();
        let timeout = timeout_after(&gaps, true).next_token();
        timeout >= Duration::from_millis(250) && timeout <= MAX
    }
}
