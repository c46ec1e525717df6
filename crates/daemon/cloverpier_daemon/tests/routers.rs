//! Routers and operators beside each other, where no whole session is written down.

mod support;

use support::Site;

#[tokio::test(flavor = "multi_thread")]
async fn an_intent_that_makes_too_large_a_plan_is_refused_by_its_size() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let mut intent = cloverpier_config::Intent::default();
    let account = cloverpier_config::Account::new("a.b", vec!["drafts".into()]);
    for i in 0..4_000 {
        let name = format!("account-{i}");
        intent
            .accounts
            .insert(name.as_str().into(), account.clone());
    }
    let refused = site
        .operator(0)
        .plan(&intent)
        .await
        .unwrap_err()
        .to_string();
    assert!(
        refused.contains("413") && refused.contains("intent_too_large"),
        "{refused}"
    );
    assert!(refused.contains("\"field\":\"body\""), "{refused}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_whose_port_is_taken_serves_once_it_is_free() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    site.routers[2].process.kill();
    let at = site.routers[2].callers_at;
    let mut squatter = None;
    while squatter.is_none() {
        // The killed router's own socket may take a moment to close.
        squatter = std::net::TcpListener::bind(at).ok();
        tokio::task::yield_now().await;
    }
    site.restart(2);
    let again = site.operator(2);
    site.until("the restarted router to be ready", || async {
        again.status().await.is_ok_and(|s| s["ready"] == true)
    })
    .await;
    drop(squatter);
    let caller = site.caller(2);
    site.until("callers to be served", || async {
        caller.addresses().await.is_ok()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_started_without_the_platform_counts_before_a_version_is_accepted() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    for round in 0..4 {
        site.set_platform_down(true).await;
        site.routers[2].process.kill();
        site.restart(2);
        let guest = site.operator(2);
        site.until("the guest", || async {
            guest.status().await.is_ok_and(|s| s["ready"] == true)
        })
        .await;
        site.set_platform_down(false).await;
        let mut intent = cloverpier_config::Intent::default();
        let mut account = site.intent().accounts.remove(&"lab".into()).unwrap();
        account.weight = 10 + round;
        intent.accounts.insert("lab".into(), account);
        let planned = site.operator(0).plan(&intent).await.unwrap();
        let confirmed = site.operator(0).confirm(&planned.id).await.unwrap();
        let status = guest.status().await.unwrap();
        let acts_on = status["version"].as_u64().unwrap_or(0);
        let accepted = confirmed.outcome == "accepted";
        assert!(
            !accepted || acts_on >= confirmed.version,
            "{confirmed:?}: {acts_on}"
        );
    }
}
