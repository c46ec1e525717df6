//! Tests of applied roots: the version in force never falls, whatever the order in which roots
//! arrive, and joining the parts gives the configuration back.

use cloverpier_config::prelude::*;
use quickcheck::quickcheck;

fn config_with_services(services: u8) -> Config {
    let mut config = Config::default();
    for i in 0..services {
        let service = Service::model(&format!("m{i}"));
        config
            .services
            .insert(format!("s{i}").as_str().into(), service);
    }
    config
}

/// The roots of versions 1 to `count`, each with one more service than the one before.
fn history(count: u8) -> Vec<(Root, Vec<Part>)> {
    let mut root = Root::default();
    let mut versions = Vec::new();
    for i in 1..=count {
        let parts = split(&config_with_services(i));
        root = root.next(&PlanId::new(format!("p{i}")), &parts);
        versions.push((root.clone(), parts));
    }
    versions
}

quickcheck! {
    fn the_version_in_force_never_falls(order: Vec<u8>, full: Vec<bool>) -> bool {
        let history = history(20);
        let mut applied = AppliedConfig::default();
        let mut highest = 0;
        for (i, pick) in order.iter().enumerate() {
            let (root, parts) = &history[usize::from(pick % 20)];
            let fetched = if full.get(i).copied().unwrap_or(true) {
                parts.clone()
            } else {
                Vec::new()
            };
            let before = applied.version();
            applied.try_apply(root, fetched);
            let now = applied.version();
            if now < before || now < highest {
                return false;
            }
            highest = now;
            let expected = config_with_services(u8::try_from(now).unwrap_or(0));
            if *applied.config() != expected {
                return false;
            }
        }
        true
    }

    fn joining_the_parts_gives_the_configuration(services: u8) -> bool {
        let config = config_with_services(services);
        join(&split(&config)) == config
    }
}

#[test]
fn a_root_is_applied_only_once_its_parts_are_present() {
    let (root, parts) = history(1).remove(0);
    let mut applied = AppliedConfig::default();
    let ApplyOutcome::MissingParts { parts: missing } = applied.try_apply(&root, Vec::new()) else {
        panic!("expected missing parts");
    };
    assert_eq!(applied.version(), 0);
    let fetched = parts.into_iter().filter(|p| missing.contains(&p.digest()));
    let outcome = applied.try_apply(&root, fetched.collect());
    assert_eq!(outcome, ApplyOutcome::Applied { version: 1 });
}

#[test]
fn a_changed_item_changes_only_its_part() {
    let (old, new) = (
        split(&config_with_services(40)),
        split(&config_with_services(41)),
    );
    let changed = old
        .iter()
        .zip(&new)
        .filter(|(a, b)| a.digest() != b.digest());
    assert_eq!(changed.count(), 1);
}

#[test]
fn a_root_still_lists_a_plan_after_63_later_plans() {
    let parts = split(&Config::default());
    let first = PlanId::new("first");
    let mut root = Root::default().next(&first, &parts);
    for i in 0..Root::MAX_CONFIRMED_PLANS - 1 {
        root = root.next(&PlanId::new(format!("p{i}")), &parts);
    }
    assert!(root.has_plan(&first));
    assert_eq!(root.plans.len(), Root::MAX_CONFIRMED_PLANS);
}
