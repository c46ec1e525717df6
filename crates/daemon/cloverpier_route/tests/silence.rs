//! The bound on an engine's silence.

use cloverpier_route::Silence;
use quickcheck::quickcheck;
use std::time::Duration;

const MOST: Duration = Duration::from_millis(1_000);

fn after(gaps_ms: &[u64], adaptive: bool) -> Silence {
    let mut silence = Silence::new(MOST, adaptive);
    for gap in gaps_ms {
        silence.on_gap(Duration::from_millis(*gap));
    }
    silence
}

#[test]
fn a_steady_stream_is_given_up_sooner_than_the_setting() {
    assert_eq!(
        after(&[20; 50], true).next_token(),
        Duration::from_millis(250)
    );
    let slow = after(&[72; 50], true).next_token();
    assert!(
        slow > Duration::from_millis(400) && slow < Duration::from_millis(450),
        "{slow:?}"
    );
}

#[test]
fn a_stream_that_is_not_known_yet_or_not_adaptive_has_the_whole_bound() {
    assert_eq!(after(&[20; 7], true).next_token(), MOST);
    assert_eq!(after(&[20; 50], false).next_token(), MOST);
    assert_eq!(after(&[], true).first_token(), MOST * 4);
}

#[test]
fn an_uneven_stream_keeps_a_wide_bound() {
    let uneven: Vec<u64> = (0..60).map(|i| if i % 5 == 0 { 400 } else { 20 }).collect();
    assert!(after(&uneven, true).next_token() > Duration::from_millis(700));
}

quickcheck! {
    fn the_bound_stays_between_its_ends(gaps_ms: Vec<u16>) -> bool {
        let gaps: Vec<u64> = gaps_ms.iter().map(|g| u64::from(*g)).collect();
        let bound = after(&gaps, true).next_token();
        bound >= Duration::from_millis(250) && bound <= MOST
    }
}
