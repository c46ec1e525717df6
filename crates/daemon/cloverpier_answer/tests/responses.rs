//! Tests of single sequences of tokens, batches, seals and takeovers.

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

/// Appends a batch that contains its header.
fn append(
    copies: &mut ResponseCopies,
    owner: &str,
    term: u64,
    offset: u64,
    tokens: &[&str],
    now: Instant,
) -> AppendReply {
    let header = BatchHeader {
        body_digest: 1,
        source: None,
    };
    let batch = TokenBatch {
        key: key(),
        term,
        header: Some(header),
        offset,
        tokens: tokens.iter().map(|t| Arc::from(*t)).collect(),
        finish: None,
    };
    copies.append(&member(owner), batch, now)
}

#[test]
fn tokens_of_a_superseded_attempt_are_dropped() {
    let mut response = OwnedResponse::new(1, 77);
    let first = response.open_attempt();
    response.on_token(first, 0, "a".into());
    let second = response.open_attempt();
    assert_eq!(response.on_token(first, 1, "x".into()), TokenOutcome::Late);
    assert_eq!(
        response.on_finish(first, 1, FinishReason::Stop),
        TokenOutcome::Late
    );
    assert_eq!(
        response.on_token(second, 1, "b".into()),
        TokenOutcome::Accepted
    );
    assert_eq!(response.digest(), TokenDigest::of_tokens(["a", "b"]));
}

#[test]
fn a_finish_with_another_token_count_is_a_gap() {
    let mut response = OwnedResponse::new(1, 77);
    let attempt = response.open_attempt();
    response.on_token(attempt, 0, "a".into());
    assert_eq!(
        response.on_finish(attempt, 2, FinishReason::Stop),
        TokenOutcome::Gap
    );
    assert_eq!(response.finish(), None);
}

#[test]
fn an_attempt_after_an_adopted_one_has_the_owners_own_term() {
    let mut response = OwnedResponse::resumed(5, 78, vec!["a".into()], None);
    let id = |term, opener, number| AttemptId {
        term,
        opener,
        number,
    };
    response.adopt_attempt(id(2, 77, 3));
    assert_eq!(response.open_attempt(), id(5, 78, 1));
    assert_eq!(response.open_attempt(), id(5, 78, 2));
}

#[test]
fn tokens_of_a_reserved_attempt_count_once_it_is_adopted() {
    let mut response = OwnedResponse::new(1, 77);
    let first = response.open_attempt();
    response.on_token(first, 0, "a".into());
    let beside = response.reserve_attempt();
    assert_ne!(first, beside);
    assert_eq!(response.attempt(), first);
    assert_eq!(response.on_token(beside, 1, "x".into()), TokenOutcome::Late);
    assert_eq!(
        response.on_token(first, 1, "b".into()),
        TokenOutcome::Accepted
    );
    response.adopt_attempt(beside);
    assert_eq!(response.on_token(first, 2, "y".into()), TokenOutcome::Late);
    assert_eq!(
        response.on_token(beside, 2, "c".into()),
        TokenOutcome::Accepted
    );
    // None has the number of one that was reserved.
    assert!(![first, beside].contains(&response.open_attempt()));
    assert_eq!(response.digest(), TokenDigest::of_tokens(["a", "b", "c"]));
}

#[test]
fn owners_of_the_same_term_drop_each_others_tokens() {
    let mut first = OwnedResponse::new(1, 77);
    let mut second = OwnedResponse::new(1, 78);
    let (of_first, _) = (first.open_attempt(), second.open_attempt());
    assert_eq!(second.on_token(of_first, 0, "a".into()), TokenOutcome::Late);
}

#[test]
fn tokens_and_finish_are_released_only_after_they_are_copied() {
    let mut response = OwnedResponse::new(1, 77);
    let attempt = response.open_attempt();
    response.on_token(attempt, 0, "a".into());
    response.on_finish(attempt, 1, FinishReason::Stop);
    assert!(response.released_from(0).is_empty());
    response.on_copied(1);
    assert_eq!(response.released_from(0).len(), 1);
    assert_eq!(response.released_finish(), None);
    response.on_finish_copied();
    assert!(response.released_finish().is_some());
}

#[test]
fn a_second_owner_of_the_same_term_is_refused() {
    let now = Instant::now();
    let mut copies = ResponseCopies::default();
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
fn a_sealed_owner_cannot_append() {
    let now = Instant::now();
    let mut copies = ResponseCopies::default();
    append(&mut copies, "r1", 1, 0, &["a"], now);
    let reply = copies.seal(&key(), 2, &member("r2"), now);
    assert!(matches!(reply, SealReply::Sealed { held: Some(h) } if h.tokens.len() == 1));
    let delayed = append(&mut copies, "r1", 1, 1, &["x"], now);
    assert_eq!(delayed, AppendReply::Sealed { term: 2 });
    let third = copies.seal(&key(), 2, &member("r3"), now);
    assert_eq!(third, SealReply::Refused { term: 2 });
}

#[test]
fn a_new_term_must_append_from_the_first_token() {
    let now = Instant::now();
    let mut copies = ResponseCopies::default();
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
fn a_repeated_batch_is_stored_once() {
    let now = Instant::now();
    let mut copies = ResponseCopies::default();
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
fn resumption_detects_diverged_and_unknown_tokens() {
    let response = OwnedResponse::resumed(2, 78, vec!["a".into(), "b".into()], None);
    assert_eq!(
        response.resume_at(2, TokenDigest::of_tokens(["a", "b"])),
        ResumePoint::From(2)
    );
    assert_eq!(
        response.resume_at(0, TokenDigest::EMPTY),
        ResumePoint::From(0)
    );
    assert_eq!(
        response.resume_at(2, TokenDigest::of_tokens(["a", "x"])),
        ResumePoint::Diverged
    );
    let ahead = TokenDigest::of_tokens(["a", "b", "c"]);
    assert_eq!(
        response.resume_at(3, ahead),
        ResumePoint::Behind { available: 2 }
    );
}

#[test]
fn a_takeover_prefers_the_highest_term_to_the_longest_copy() {
    let held = |term, tokens: &[&str]| {
        let held = ResponseCopy {
            term,
            owner: member("r"),
            body_digest: 1,
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
        has_missing_replies,
    } = takeover.on_replies(replies)
    else {
        panic!("expected a takeover");
    };
    assert_eq!(
        (term, held.map(|h| h.term), has_missing_replies),
        (1, Some(2), true)
    );
}

#[test]
fn a_refused_takeover_retries_above_the_highest_term() {
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
fn copies_are_removed_after_their_retention() {
    let start = Instant::now();
    let retention = Retention::default();
    let mut copies = ResponseCopies::default();
    append(&mut copies, "r1", 1, 0, &["a"], start);
    copies.sweep(start + retention.finished, retention);
    assert_eq!(copies.len(), 1);
    copies.sweep(start + retention.unfinished, retention);
    assert!(copies.is_empty());
}

#[test]
fn an_event_id_is_parsed_from_its_text() {
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
fn an_owner_that_changes_its_holder_is_refused_after_a_later_owner_has_sealed() {
    let now = Instant::now();
    let (mut first, mut second) = (ResponseCopies::default(), ResponseCopies::default());
    append(&mut first, "r1", 1, 0, &["a"], now);
    for holder in [&mut first, &mut second] {
        holder.seal(&key(), 2, &member("r2"), now);
    }
    let at_second_holder = append(&mut second, "r1", 1, 0, &["a", "x"], now);
    assert_eq!(at_second_holder, AppendReply::Sealed { term: 2 });
    let own_seal = second.seal(&key(), 1, &member("r1"), now);
    assert_eq!(own_seal, SealReply::Refused { term: 2 });
}

#[test]
fn a_batch_without_a_header_is_accepted_only_after_a_batch_with_one() {
    let now = Instant::now();
    let mut response = OwnedResponse::new(1, 77);
    let attempt = response.open_attempt();
    response.on_token(attempt, 0, "a".into());
    let header = BatchHeader {
        body_digest: 1,
        source: None,
    };
    let mut progress = CopyProgress::default();
    progress.assign(Some(member("h")));
    let first = progress.next_batch(&response, &key(), header.clone());
    assert_eq!(first.header, Some(header.clone()));
    response.on_token(attempt, 1, "b".into());
    let second = progress.next_batch(&response, &key(), header.clone());
    assert_eq!(second.header, None);
    let (mut with_header, mut without_header) =
        (ResponseCopies::default(), ResponseCopies::default());
    with_header.append(&member("r1"), first, now);
    let held = with_header.append(&member("r1"), second.clone(), now);
    assert_eq!(
        held,
        AppendReply::Held {
            tokens: 2,
            finished: false
        }
    );
    let gap = without_header.append(&member("r1"), second, now);
    assert_eq!(gap, AppendReply::Gap { tokens: 0 });
    progress.on_reply(&mut response, gap);
    assert_eq!(
        progress
            .next_batch(&response, &key(), header.clone())
            .header,
        Some(header)
    );
}
