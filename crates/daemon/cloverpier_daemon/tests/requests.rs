//! Requests that can't stand are refused by name before anything is dispatched.

mod support;

use serde_json::{Value, json};
use support::{KEY, Site};

/// What is wrong, the path, the headers and the body.
type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, String);

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_names_its_field_and_runs_nothing() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let good = format!("Bearer {KEY}");
    let auth: (&str, &str) = ("Authorization", &good);
    let wrong = ("Authorization", "Bearer lab.wrong");
    let nobody = ("Authorization", "Bearer nobody.x");
    let path = "/v1/completions";
    let body = json!({"model": "drafts", "prompt": "x", "max_tokens": 4}).to_string();
    let with = |name: &str, value: Value| {
        let mut fields = json!({"model": "drafts", "prompt": "x", "max_tokens": 4});
        fields[name] = value;
        fields.to_string()
    };
    let large = "x".repeat(5 << 20);
    let long = "k".repeat(201);
    let cases: Vec<Case<'_>> = vec![
        ("no key", path, vec![], body.clone()),
        ("wrong key", path, vec![wrong], body.clone()),
        ("unknown account", path, vec![nobody], body.clone()),
        ("malformed JSON", path, vec![auth], "{\"model\":".to_owned()),
        ("not an object", path, vec![auth], "[1]".to_owned()),
        ("oversized body", path, vec![auth], large),
        (
            "unknown model",
            path,
            vec![auth],
            with("model", json!("nothing")),
        ),
        ("no model", path, vec![auth], with("model", json!(null))),
        (
            "a plain service",
            path,
            vec![auth],
            with("model", json!("status")),
        ),
        ("empty prompt", path, vec![auth], with("prompt", json!(""))),
        (
            "negative limit",
            path,
            vec![auth],
            with("max_tokens", json!(-1)),
        ),
        (
            "limit too high",
            path,
            vec![auth],
            with("max_tokens", json!(99_999)),
        ),
        (
            "priority too high",
            path,
            vec![auth],
            with("priority", json!(6)),
        ),
        (
            "adapter not allowed",
            path,
            vec![auth],
            with("adapter", json!("italic")),
        ),
        (
            "stream no flag",
            path,
            vec![auth],
            with("stream", json!("yes")),
        ),
        (
            "event id",
            path,
            vec![auth, ("Last-Event-ID", "soon")],
            body.clone(),
        ),
        (
            "long key",
            path,
            vec![auth, ("Idempotency-Key", &long)],
            body.clone(),
        ),
        (
            "repeatable",
            path,
            vec![auth, ("Cloverpier-Repeatable", "no")],
            body,
        ),
        (
            "messages",
            "/v1/chat/completions",
            vec![auth],
            with("messages", json!([1])),
        ),
        (
            "no such service",
            "/services/none/x",
            vec![auth],
            String::new(),
        ),
        (
            "a model service",
            "/services/drafts/x",
            vec![auth],
            String::new(),
        ),
        (
            "no key for a post",
            "/services/status/x",
            vec![auth],
            String::new(),
        ),
    ];
    let mut lines = Vec::new();
    for (what, path, headers, body) in cases {
        let (status, answer) = site.raw(path, &headers, &body).await;
        let error = &answer["error"];
        lines.push(json!([what, status, error["code"], error["field"], error["run"]]).to_string());
    }
    insta::assert_json_snapshot!(lines);
    for i in 0..3 {
        assert_eq!(site.started(i).await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_used_for_another_request_is_refused() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let good = format!("Bearer {KEY}");
    let headers = [("Authorization", good.as_str()), ("Idempotency-Key", "k")];
    let body = |n: u32| json!({"model": "drafts", "prompt": "x", "max_tokens": n}).to_string();
    let (first, whole) = site.raw("/v1/completions", &headers, &body(4)).await;
    let (again, same) = site.raw("/v1/completions", &headers, &body(4)).await;
    let (other, refused) = site.raw("/v1/completions", &headers, &body(5)).await;
    assert_eq!((first, again, other), (200, 200, 422));
    assert_eq!(whole["choices"], same["choices"]);
    assert_eq!(refused["error"]["code"], "key_reused");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_accounts_that_use_one_key_get_their_own_answers() {
    let site = Site::start().await;
    let mut intent = site.intent();
    let other = cloverpier_config::Account::new("other.secret", vec!["drafts".into()]);
    intent.accounts.insert("other".into(), other);
    site.configure(&intent).await;
    let body = |prompt: &str, tokens: u32| {
        json!({"model": "drafts", "prompt": prompt, "max_tokens": tokens}).to_string()
    };
    let good = format!("Bearer {KEY}");
    let mine = [("Authorization", good.as_str()), ("Idempotency-Key", "k")];
    let theirs = [
        ("Authorization", "Bearer other.secret"),
        ("Idempotency-Key", "k"),
    ];
    let path = "/v1/completions";
    let (mine_body, theirs_body) = (body("mine", 30), body("theirs", 20));
    let first = site.raw(path, &mine, &mine_body);
    let second = site.raw(path, &theirs, &theirs_body);
    let ((_, mine), (_, theirs)) = tokio::join!(first, second);
    let tokens = |answer: &Value| answer["usage"]["completion_tokens"].as_u64();
    assert_eq!((tokens(&mine), tokens(&theirs)), (Some(30), Some(20)));
}

/// A router started while platform and peers were away; it judged a valid key by no configuration
/// at all and told its caller for good that the key was unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_a_configuration_calls_no_key_unknown() {
    let mut site = Site::start().await;
    site.configure(&site.intent()).await;
    site.set_platform_down(true).await;
    for router in &mut site.routers {
        router.process.kill();
    }
    site.restart(0);
    let operator = site.operator(0);
    site.until("the router listens", async || {
        operator.status().await.is_ok()
    })
    .await;
    let key = format!("Bearer {KEY}");
    let body = json!({"model": "drafts", "prompt": "x", "max_tokens": 4}).to_string();
    let headers = [("Authorization", key.as_str())];
    let (status, answer) = site.raw("/v1/completions", &headers, &body).await;
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["error"]["code"], "starting", "{answer}");
    assert_eq!(answer["error"]["run"], "not-run", "{answer}");
}
