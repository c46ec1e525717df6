//! The fields of the daemon's answers to operators and callers, and the names of what it
//! stores, as golden files written by commit 72eb395.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeSet;
use support::Site;

/// The same value with each leaf replaced by its kind and equal elements of lists joined.
fn form(value: &Value) -> Value {
    match value {
        Value::Object(fields) => fields.iter().map(|(n, v)| (n.clone(), form(v))).collect(),
        Value::Array(elements) => {
            let mut forms: Vec<Value> = elements.iter().map(form).collect();
            forms.dedup();
            Value::Array(forms)
        }
        Value::Null => json!("null"),
        Value::Bool(_) => json!("bool"),
        Value::Number(_) => json!("number"),
        Value::String(_) => json!("text"),
    }
}

/// Keys at the platform; parts and plans, which are named by digests, by their folder.
async fn stored_keys(site: &Site) -> BTreeSet<String> {
    let list = format!("http://{}/list/cloverpier/", site.platform.address);
    let stored: Value = site.get(&list).await.unwrap_or_default();
    let objects = stored.as_array().into_iter().flatten();
    let keys = objects.filter_map(|object| object["key"].as_str());
    let keys = keys.map(|key| match key.rsplit_once('/') {
        Some((folder @ ("cloverpier/config/parts" | "cloverpier/plans"), _)) => folder.to_owned(),
        _ => key.to_owned(),
    });
    keys.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_and_stored_objects_keep_their_fields() {
    let site = Site::start().await;
    let planned = site.operator(0).plan(&site.intent()).await.unwrap();
    let confirmed = site.operator(0).confirm(&planned.id).await.unwrap();
    let status = site.operator(0).status().await.unwrap();
    let addresses = format!("http://{}/v1/addresses", site.routers[0].callers_at);
    let addresses: Value = site.get(&addresses).await.unwrap();
    let models = format!("http://{}/v1/models", site.routers[0].callers_at);
    let models: Value = site.get(&models).await.unwrap_or_default();
    let left = site.operator(0).leave("e1").await.unwrap();
    site.until("the mark to be stored", async || {
        stored_keys(&site).await.contains("cloverpier/marks")
    })
    .await;
    let keys = stored_keys(&site).await;
    insta::assert_json_snapshot!(json!({
        "plan": form(&serde_json::to_value(&planned).unwrap()),
        "confirmed": form(&serde_json::to_value(&confirmed).unwrap()),
        "status": form(&status),
        "addresses": form(&addresses),
        "models": form(&models),
        "left": form(&left),
        "stored": keys,
    }));
}
