//! Plans: what an intent would change, races of operators, and bad intents.

use cloverpier_config::prelude::*;
use cloverpier_core::{KeyDigest, UpstreamName};

fn base() -> Config {
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

fn leaving(name: &str) -> Intent {
    Intent {
        leave: vec![name.into()],
        ..Intent::default()
    }
}

#[test]
fn a_plan_reads_as_a_diff() {
    let mut intent = leaving("e1");
    intent.upstreams.insert("e3".into(), engine(9003));
    intent.remove.push(Item::Service("status".into()));
    let plan = plan(&base(), 4, &intent).unwrap();
    insta::assert_json_snapshot!(plan.changes);
}

#[test]
fn a_plan_whose_things_did_not_move_holds_against_a_later_version() {
    let config = base();
    let mine = plan(&config, 1, &leaving("e1")).unwrap();
    let theirs = leaving("e2").apply(&config);
    let both = rebase(&mine, &theirs, 2).unwrap();
    let state = |name: &str| both.upstreams[&UpstreamName::new(name)].state;
    assert_eq!(state("e1"), UpstreamState::Leaving);
    assert_eq!(state("e2"), UpstreamState::Leaving);
}

#[test]
fn a_plan_whose_things_moved_is_refused_and_names_them() {
    let config = base();
    let mine = plan(&config, 1, &leaving("e1")).unwrap();
    let mut other = Intent::default();
    let mut changed = engine(9001);
    changed.slots = 4;
    other.upstreams.insert("e1".into(), changed);
    let theirs = other.apply(&config);
    let moved = rebase(&mine, &theirs, 2).unwrap_err();
    let expected = PlanError::Moved {
        base: 1,
        now: 2,
        items: vec![Item::Upstream("e1".into())],
    };
    assert_eq!(moved, expected);
}

#[test]
fn an_intent_that_is_met_already_changes_nothing() {
    let config = base();
    let left = leaving("e1").apply(&config);
    let plan = plan(&left, 3, &leaving("e1")).unwrap();
    assert!(plan.changes.is_empty());
}

#[test]
fn all_faults_of_an_intent_are_told_at_once() {
    let mut intent = leaving("nobody");
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
    let PlanError::Faulty { faults } = plan(&base(), 1, &intent).unwrap_err() else {
        panic!("expected faults");
    };
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_json_snapshot!(lines);
}

#[test]
fn a_name_that_left_comes_back_only_as_a_higher_incarnation() {
    let left = leaving("e1").apply(&base());
    let mut intent = Intent::default();
    intent.upstreams.insert("e1".into(), engine(9001));
    let PlanError::Faulty { faults } = plan(&left, 2, &intent).unwrap_err() else {
        panic!("expected a fault");
    };
    assert_eq!(faults[0].field, "upstreams.e1.incarnation");
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
    let PlanError::Faulty { faults } = plan(&base(), 1, &intent).unwrap_err() else {
        panic!("expected faults");
    };
    let fields: Vec<&str> = faults.iter().map(|f| f.field.as_str()).collect();
    assert!(fields.contains(&"upstreams.e1.service"));
    assert!(fields.contains(&"accounts.lab.services"));
}

#[test]
fn an_unknown_key_in_an_intent_is_refused_by_name() {
    let text = r#"{"upstreams": {"e1": {"service": "drafts", "addres": "10.0.0.1:1"}}}"#;
    let error = serde_json::from_str::<Intent>(text).unwrap_err();
    assert!(error.to_string().contains("addres"), "{error}");
}
