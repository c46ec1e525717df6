//! Names and paths that hold characters which mean something in a URL.

mod support;

use cloverpier_client::OperatorError;
use serde_json::Value;
use std::net::SocketAddr;
use support::{KEY, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Paths as callers send them; each one reaches the service as it is.
const PATHS: [&str; 9] = [
    "runs/17%23b",
    "runs/17%3Fb=c",
    "runs/17%2Fb",
    "runs/17%20b",
    "runs/17%25b",
    "runs/17+b&c",
    "runs/%2e%2e%2Fother",
    "runs//17/",
    "runs/gr%C3%B6%C3%9Fe",
];

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_its_service_under_the_path_that_the_caller_sent() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    let mut failing = Vec::new();
    for path in PATHS {
        let url = format!(
            "http://{}/services/status/{path}",
            site.routers[0].callers_at
        );
        let req = reqwest::Client::new().get(url).bearer_auth(KEY);
        let text = req.send().await.unwrap().text().await.unwrap();
        let echo: Value = serde_json::from_str(&text).unwrap_or_default();
        if echo["path"] != format!("/{path}") {
            failing.push(format!("{path}: {text}"));
        }
    }
    assert!(failing.is_empty(), "{failing:#?}");
}

/// Sends a path that no client library would send, and returns the first line of the answer.
async fn status_line(router: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(router).await.unwrap();
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a path that the service gets as another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_path_would_be_resolved_is_refused() {
    let site = Site::start().await;
    site.configure(&site.intent()).await;
    for path in ["runs/../other", "runs/%2e%2E/other", "./x", ".."] {
        let path = format!("/services/status/{path}");
        let line = status_line(site.routers[0].callers_at, &path).await;
        assert!(line.starts_with("HTTP/1.1 400"), "{path}: {line}");
    }
}

/// Guards against a plan that is shown or confirmed in the place of another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_found_under_its_whole_name_alone() {
    let site = Site::start().await;
    let planned = site.operator(0).plan(&site.intent()).await.unwrap();
    let name = planned.id.as_str();
    assert!(site.operator(0).show(name).await.is_ok());
    for odd in ["#b", "?after=0", "%23b", "%3Fafter=0"].map(|end| format!("{name}{end}")) {
        let shown = site.operator(0).show(&odd).await;
        let is_unknown = matches!(shown, Err(OperatorError::Refused { status: 404, .. }));
        assert!(is_unknown, "{odd}: {shown:?}");
        let confirmed = site.operator(0).confirm(&odd).await;
        let is_unknown = matches!(confirmed, Err(OperatorError::Refused { status: 404, .. }));
        assert!(is_unknown, "{odd}: {confirmed:?}");
    }
}
