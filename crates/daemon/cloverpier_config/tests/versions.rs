//! Versions only rise, whatever order roots arrive in, and parts make up the whole.

use cloverpier_config::prelude::*;
use quickcheck::quickcheck;

fn config_of(services: u8) -> Config {
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
    let mut all = Vec::new();
    for i in 1..=count {
        let parts = split(&config_of(i));
        root = root.next(&PlanId::new(format!("p{i}")), &parts);
        all.push((root.clone(), parts));
    }
    all
}

quickcheck! {
    fn the_version_in_force_never_falls(order: Vec<u8>, full: Vec<bool>) -> bool {
        let history = history(20);
        let mut applied = Applied::default();
        let mut highest = 0;
        for (i, pick) in order.iter().enumerate() {
            let (root, parts) = &history[usize::from(pick % 20)];
            let fetched = if full.get(i).copied().unwrap_or(true) {
                parts.clone()
            } else {
                Vec::new()
            };
            let before = applied.version();
            applied.offer(root, fetched);
            let now = applied.version();
            if now < before || now < highest {
                return false;
            }
            highest = now;
            let expected = config_of(u8::try_from(now).unwrap_or(0));
            if *applied.config() != expected {
                return false;
            }
        }
        true
    }

    fn parts_make_up_the_whole(services: u8) -> bool {
        let config = config_of(services);
        join(&split(&config)) == config
    }
}

#[test]
fn a_root_whose_parts_are_missing_is_not_in_force() {
    let (root, parts) = history(1).remove(0);
    let mut applied = Applied::default();
    let ApplyStep::Lacks { parts: lacks } = applied.offer(&root, Vec::new()) else {
        panic!("expected missing parts");
    };
    assert_eq!(applied.version(), 0);
    let fetched = parts.into_iter().filter(|p| lacks.contains(&p.digest()));
    let step = applied.offer(&root, fetched.collect());
    assert_eq!(step, ApplyStep::InForce { version: 1 });
}

#[test]
fn a_change_writes_only_the_parts_that_it_touches() {
    let (old, new) = (split(&config_of(40)), split(&config_of(41)));
    let changed = old
        .iter()
        .zip(&new)
        .filter(|(a, b)| a.digest() != b.digest());
    assert_eq!(changed.count(), 1);
}

#[test]
fn a_confirmed_plan_is_found_again_after_others() {
    let parts = split(&Config::default());
    let first = PlanId::new("first");
    let mut root = Root::default().next(&first, &parts);
    for i in 0..Root::PLANS_KEPT - 1 {
        root = root.next(&PlanId::new(format!("p{i}")), &parts);
    }
    assert!(root.has_plan(&first));
    assert_eq!(root.plans.len(), Root::PLANS_KEPT);
}
