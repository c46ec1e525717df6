//! Single orders of events that matter, one test each.

use cloverpier_answer::prelude::*;
use cloverpier_core::{MemberId, RequestKey, TokenDigest};
use std::sync::Arc;
use std::time::Instant;

fn key() -> RequestKey {
    RequestKey::new("lab/1")
}

fn member(name: &str) -> MemberId {
    MemberId::new(name)
}

/// Appends a batch that carries its head.
fn append(
    copies: &mut Copies,
    owner: &str,
    term: u64,
    offset: u64,
    tokens: &[&str],
    now: Instant,
) -> AppendReply {
    let head = EntryHead {
        body: 1,
        source: None,
    };
    let entry = Entry {
        key: key(),
        term,
        head: Some(head),
        offset,
        tokens: tokens.iter().map(|t| Arc::from(*t)).collect(),
        finish: None,
    };
    copies.append(&member(owner), entry, now)
}

#[test]
fn an_engine_that_wakes_after_its_attempt_is_sealed_is_not_heard() {
    let mut answer = Answer::fresh(1, 77);
    let first = answer.open_attempt();
    answer.on_token(first, 0, "a".into());
    let second = answer.open_attempt();
    assert_eq!(answer.on_token(first, 1, "x".into()), TokenStep::Late);
    assert_eq!(
        answer.on_finish(first, 1, FinishReason::Stop),
        TokenStep::Late
    );
    assert_eq!(answer.on_token(second, 1, "b".into()), TokenStep::Accepted);
    assert_eq!(answer.chain(), TokenDigest::of_tokens(["a", "b"]));
}

#[test]
fn an_end_that_counts_other_tokens_is_no_end() {
    let mut answer = Answer::fresh(1, 77);
    let attempt = answer.open_attempt();
    answer.on_token(attempt, 0, "a".into());
    assert_eq!(
        answer.on_finish(attempt, 2, FinishReason::Stop),
        TokenStep::Gap
    );
    assert_eq!(answer.finish(), None);
}

#[test]
fn an_attempt_after_an_adopted_one_is_in_the_owners_own_term() {
    let mut answer = Answer::resumed(5, 78, vec!["a".into()], None);
    let id = |term, opener, number| AttemptId {
        term,
        opener,
        number,
    };
    answer.adopt_attempt(id(2, 77, 3));
    assert_eq!(answer.open_attempt(), id(5, 78, 1));
    assert_eq!(answer.open_attempt(), id(5, 78, 2));
}

#[test]
fn two_owners_of_one_term_do_not_hear_each_others_engines() {
    let mut first = Answer::fresh(1, 77);
    let mut second = Answer::fresh(1, 78);
    let (of_first, _) = (first.open_attempt(), second.open_attempt());
    assert_eq!(second.on_token(of_first, 0, "a".into()), TokenStep::Late);
}

#[test]
fn nothing_is_released_before_it_is_copied_and_the_end_comes_last() {
    let mut answer = Answer::fresh(1, 77);
    let attempt = answer.open_attempt();
    answer.on_token(attempt, 0, "a".into());
    answer.on_finish(attempt, 1, FinishReason::Stop);
    assert!(answer.released_from(0).is_empty());
    answer.on_copied(1);
    assert_eq!(answer.released_from(0).len(), 1);
    assert_eq!(answer.released_finish(), None);
    answer.on_finish_copied();
    assert!(answer.released_finish().is_some());
}

#[test]
fn two_routers_that_start_one_request_at_once_cannot_both_release() {
    let now = Instant::now();
    let mut copies = Copies::default();
    let held = append(&mut copies, "r1", 1, 0, &["a"], now);
    assert_eq!(
        held,
        AppendReply::Held {
            tokens: 1,
            finished: false
        }
    );
    let refused = append(&mut copies, "r2", 1, 0, &["b"], now);
    assert_eq!(refused, AppendReply::Sealed { term: 1 });
}

#[test]
fn an_owner_that_was_sealed_cannot_write_any_more() {
    let now = Instant::now();
    let mut copies = Copies::default();
    append(&mut copies, "r1", 1, 0, &["a"], now);
    let reply = copies.seal(&key(), 2, &member("r2"), now);
    assert!(matches!(reply, SealReply::Sealed { held: Some(h) } if h.tokens.len() == 1));
    let late = append(&mut copies, "r1", 1, 1, &["x"], now);
    assert_eq!(late, AppendReply::Sealed { term: 2 });
    let third = copies.seal(&key(), 2, &member("r3"), now);
    assert_eq!(third, SealReply::Refused { term: 2 });
}

#[test]
fn a_new_term_brings_its_whole_prefix_or_is_asked_for_it() {
    let now = Instant::now();
    let mut copies = Copies::default();
    append(&mut copies, "r1", 1, 0, &["a", "b"], now);
    copies.seal(&key(), 2, &member("r2"), now);
    let gap = append(&mut copies, "r2", 2, 2, &["c"], now);
    assert_eq!(gap, AppendReply::Gap { tokens: 0 });
    let held = append(&mut copies, "r2", 2, 0, &["a", "z"], now);
    assert_eq!(
        held,
        AppendReply::Held {
            tokens: 2,
            finished: false
        }
    );
}

#[test]
fn a_batch_that_comes_twice_is_written_once() {
    let now = Instant::now();
    let mut copies = Copies::default();
    append(&mut copies, "r1", 1, 0, &["a", "b"], now);
    let again = append(&mut copies, "r1", 1, 0, &["a", "b"], now);
    assert_eq!(
        again,
        AppendReply::Held {
            tokens: 2,
            finished: false
        }
    );
    let overlap = append(&mut copies, "r1", 1, 1, &["b", "c"], now);
    assert_eq!(
        overlap,
        AppendReply::Held {
            tokens: 3,
            finished: false
        }
    );
    assert_eq!(copies.tokens(), 3);
}

#[test]
fn a_caller_with_other_tokens_than_those_known_is_told() {
    let answer = Answer::resumed(2, 78, vec!["a".into(), "b".into()], None);
    assert_eq!(
        answer.resume_at(2, TokenDigest::of_tokens(["a", "b"])),
        Resume::From(2)
    );
    assert_eq!(answer.resume_at(0, TokenDigest::EMPTY), Resume::From(0));
    assert_eq!(
        answer.resume_at(2, TokenDigest::of_tokens(["a", "x"])),
        Resume::Diverged
    );
    let ahead = TokenDigest::of_tokens(["a", "b", "c"]);
    assert_eq!(answer.resume_at(3, ahead), Resume::Behind { known: 2 });
}

#[test]
fn the_newest_copy_is_of_the_highest_term_not_the_longest() {
    let held = |term, tokens: &[&str]| {
        let held = HeldAnswer {
            term,
            owner: member("r"),
            body: 1,
            source: None,
            tokens: tokens.iter().map(|t| Arc::from(*t)).collect(),
            finish: None,
        };
        Some(SealReply::Sealed { held: Some(held) })
    };
    let mut takeover = Takeover::new();
    let replies = vec![held(1, &["a", "b", "c"]), held(2, &["a"]), None];
    let TakeoverStep::Own {
        term,
        held,
        unheard,
    } = takeover.on_replies(replies)
    else {
        panic!("expected a takeover");
    };
    assert_eq!((term, held.map(|h| h.term), unheard), (1, Some(2), true));
}

#[test]
fn a_takeover_goes_above_the_highest_term_that_refuses_it() {
    let mut takeover = Takeover::new();
    let refused = vec![
        Some(SealReply::Refused { term: 6 }),
        Some(SealReply::Refused { term: 9 }),
    ];
    assert_eq!(
        takeover.on_replies(refused),
        TakeoverStep::Seal { term: 10 }
    );
}

#[test]
fn copies_are_dropped_when_their_retention_is_over() {
    let start = Instant::now();
    let keep = Retention::default();
    let mut copies = Copies::default();
    append(&mut copies, "r1", 1, 0, &["a"], start);
    copies.sweep(start + keep.finished, keep);
    assert_eq!(copies.len(), 1);
    copies.sweep(start + keep.unfinished, keep);
    assert!(copies.is_empty());
}

#[test]
fn an_event_id_reads_as_it_was_written() {
    for holder in [None, Some(member("vm-1~17.5"))] {
        let id = EventId {
            tokens: 12,
            chain: TokenDigest::of_tokens(["a"]),
            holder,
        };
        assert_eq!(EventId::parse(&id.to_string()), Some(id));
    }
    for wrong in ["", "12", "x.y", "12.zz", "-1.00"] {
        assert_eq!(EventId::parse(wrong), None, "{wrong}");
    }
}

#[test]
fn an_owner_that_gave_its_holder_up_cannot_go_on_where_a_later_one_has_sealed() {
    let now = Instant::now();
    let (mut first, mut second) = (Copies::default(), Copies::default());
    append(&mut first, "r1", 1, 0, &["a"], now);
    for holder in [&mut first, &mut second] {
        holder.seal(&key(), 2, &member("r2"), now);
    }
    let elsewhere = append(&mut second, "r1", 1, 0, &["a", "x"], now);
    assert_eq!(elsewhere, AppendReply::Sealed { term: 2 });
    let asks = second.seal(&key(), 1, &member("r1"), now);
    assert_eq!(asks, SealReply::Refused { term: 2 });
}

#[test]
fn a_batch_without_a_head_opens_nothing_and_needs_none_later() {
    let now = Instant::now();
    let mut answer = Answer::fresh(1, 77);
    let attempt = answer.open_attempt();
    answer.on_token(attempt, 0, "a".into());
    let head = EntryHead {
        body: 1,
        source: None,
    };
    let mut shipping = Shipping::default();
    shipping.assign(Some(member("h")));
    let first = shipping.next_entry(&answer, &key(), head.clone());
    assert_eq!(first.head, Some(head.clone()));
    answer.on_token(attempt, 1, "b".into());
    let second = shipping.next_entry(&answer, &key(), head.clone());
    assert_eq!(second.head, None);
    let (mut knows, mut fresh) = (Copies::default(), Copies::default());
    knows.append(&member("r1"), first, now);
    let held = knows.append(&member("r1"), second.clone(), now);
    assert_eq!(
        held,
        AppendReply::Held {
            tokens: 2,
            finished: false
        }
    );
    let gap = fresh.append(&member("r1"), second, now);
    assert_eq!(gap, AppendReply::Gap { tokens: 0 });
    shipping.on_reply(&mut answer, gap);
    assert_eq!(
        shipping.next_entry(&answer, &key(), head.clone()).head,
        Some(head)
    );
}
