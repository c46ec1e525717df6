//! Tests of plans: the changes of an intent, conflicts between operators, and invalid intents.

use cloverpier_config::prelude::*;
use cloverpier_core::{KeyDigest, UpstreamName};

fn base_config() -> Config {
    let mut intent = Intent::default();
    intent
        .services
        .insert("drafts".into(), Service::model("draft-7b"));
    let plain = Service::plain(Repeatable::Reads);
    intent.services.insert("status".into(), plain);
    intent.upstreams.insert("e1".into(), engine(9001));
    intent.upstreams.insert("e2".into(), engine(9002));
    let account = Account::new("lab.secret", vec!["drafts".into()]);
    intent.accounts.insert("lab".into(), account);
    intent.apply(&Config::default())
}

fn engine(port: u16) -> Upstream {
    Upstream::new(
        "drafts".into(),
        ([10, 0, 0, 1], port).into(),
        "hall-a".into(),
    )
}

fn leave_intent(name: &str) -> Intent {
    Intent {
        leave: vec![name.into()],
        ..Intent::default()
    }
}

#[test]
fn a_plan_lists_changes_with_content_before_and_after() {
    let mut intent = leave_intent("e1");
    intent.upstreams.insert("e3".into(), engine(9003));
    intent.remove.push(Item::Service("status".into()));
    let plan = plan(&base_config(), 4, &intent).unwrap();
    insta::assert_json_snapshot!(plan.changes);
}

#[test]
fn a_plan_applies_to_a_later_version_that_left_its_items_unchanged() {
    let config = base_config();
    let mine = plan(&config, 1, &leave_intent("e1")).unwrap();
    let theirs = leave_intent("e2").apply(&config);
    let both = rebase(&mine, &theirs, 2).unwrap();
    let state = |name: &str| both.upstreams[&UpstreamName::new(name)].state;
    assert_eq!(state("e1"), UpstreamState::Leaving);
    assert_eq!(state("e2"), UpstreamState::Leaving);
}

#[test]
fn a_plan_is_rejected_with_its_conflicting_items_when_they_changed() {
    let config = base_config();
    let mine = plan(&config, 1, &leave_intent("e1")).unwrap();
    let mut other = Intent::default();
    let mut changed = engine(9001);
    changed.slots = 4;
    other.upstreams.insert("e1".into(), changed);
    let theirs = other.apply(&config);
    let error = rebase(&mine, &theirs, 2).unwrap_err();
    let expected = PlanError::Conflict {
        base: 1,
        current: 2,
        items: vec![Item::Upstream("e1".into())],
    };
    assert_eq!(error, expected);
}

#[test]
fn an_intent_that_is_met_already_has_no_changes() {
    let config = base_config();
    let left = leave_intent("e1").apply(&config);
    let plan = plan(&left, 3, &leave_intent("e1")).unwrap();
    assert!(plan.changes.is_empty());
}

#[test]
fn all_errors_of_an_intent_are_reported_at_once() {
    let mut intent = leave_intent("nobody");
    let mut wrong = engine(1);
    wrong.service = "missing".into();
    wrong.slots = 0;
    intent.upstreams.insert("e 9".into(), wrong);
    let mut account = Account::new("x.y", vec!["missing".into()]);
    account.requests_per_s = 0;
    account.max_priority = 10;
    account.key_sha256 = serde_json::from_str::<KeyDigest>("\"short\"").unwrap();
    intent.accounts.insert("x".into(), account);
    let mut service = Service::model("m");
    service.copies = 9;
    service.silence_ms = 1;
    service.max_tokens = 0;
    intent.services.insert("s".into(), service);
    let PlanError::Invalid { errors } = plan(&base_config(), 1, &intent).unwrap_err() else {
        panic!("expected faults");
    };
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_json_snapshot!(lines);
}

#[test]
fn an_upstream_that_left_returns_only_with_a_higher_incarnation() {
    let left = leave_intent("e1").apply(&base_config());
    let mut intent = Intent::default();
    intent.upstreams.insert("e1".into(), engine(9001));
    let PlanError::Invalid { errors } = plan(&left, 2, &intent).unwrap_err() else {
        panic!("expected a fault");
    };
    assert_eq!(errors[0].field, "upstreams.e1.incarnation");
    let mut next = engine(9001);
    next.incarnation = 2;
    intent.upstreams.insert("e1".into(), next);
    assert!(plan(&left, 2, &intent).is_ok());
}

#[test]
fn a_service_that_is_in_use_cannot_be_removed() {
    let intent = Intent {
        remove: vec![Item::Service("drafts".into())],
        ..Intent::default()
    };
    let PlanError::Invalid { errors } = plan(&base_config(), 1, &intent).unwrap_err() else {
        panic!("expected faults");
    };
    let fields: Vec<&str> = errors.iter().map(|f| f.field.as_str()).collect();
    assert!(fields.contains(&"upstreams.e1.service"));
    assert!(fields.contains(&"accounts.lab.services"));
}

#[test]
fn an_unknown_key_in_an_intent_is_rejected_by_name() {
    let text = r#"{"upstreams": {"e1": {"service": "drafts", "addres": "10.0.0.1:1"}}}"#;
    let error = serde_json::from_str::<Intent>(text).unwrap_err();
    assert!(error.to_string().contains("addres"), "{error}");
}
