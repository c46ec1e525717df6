//! Generations whose engine falls silent as its stream is lost: the connection, or the process.

mod support;

use cloverpier_config::{Intent, Upstream};
use cloverpier_upstream::{EngineEvent, LoadBody};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{KEY, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TOKENS: u64 = 4;
/// Far less than an answer without a proof waits for its engine.
const SOON: Duration = Duration::from_secs(10);

/// What an engine answers when it is asked for a generation again.
#[derive(Clone, Copy)]
enum Resume {
    /// It does not know it, as another process did.
    NotFound,
    /// It goes on.
    Rest,
}

fn tokens(offsets: std::ops::Range<u64>) -> String {
    let events = offsets.map(|offset| EngineEvent::Token {
        offset,
        text: Arc::from(" x"),
    });
    let lines = events.map(|event| serde_json::to_string(&event).unwrap() + "\n");
    lines.collect()
}

fn whole(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
}

/// Answers one request: a generation with its first half, and nothing after that.
async fn serve(mut connection: TcpStream, resume: Resume) {
    let mut buf = vec![0; 64 << 10];
    let read = connection.read(&mut buf).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&buf[..read]).into_owned();
    let half = TOKENS / 2;
    let answer = if head.starts_with("POST /v1/generate") {
        let part = tokens(0..half);
        let length = part.len();
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{part}\r\n")
    } else if head.starts_with("POST /v1/resume") {
        match resume {
            Resume::NotFound => whole("404 Not Found", ""),
            Resume::Rest => {
                let finish = EngineEvent::Finish {
                    at: TOKENS,
                    length: true,
                };
                let finish = serde_json::to_string(&finish).unwrap() + "\n";
                whole("200 OK", &(tokens(half..TOKENS) + &finish))
            }
        }
    } else {
        whole(
            "200 OK",
            &serde_json::to_string(&LoadBody::default()).unwrap(),
        )
    };
    let _ = connection.write_all(answer.as_bytes()).await;
    if head.starts_with("POST /v1/generate") {
        std::future::pending::<()>().await;
    }
}

/// Starts an engine that loses the stream of each generation.
async fn lossy_engine(resume: Resume) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(serve(connection, resume));
        }
    });
    address
}

/// Asks for an answer that may run once, at a site with one engine.
async fn generate_once(resume: Resume) -> (u16, Value, Duration) {
    let site = Site::start().await;
    let address = lossy_engine(resume).await;
    let mut intent: Intent = site.intent();
    for service in intent.services.values_mut() {
        service.silence_ms = 100;
    }
    intent
        .upstreams
        .retain(|_, u| u.service.as_str() != "drafts");
    let only = Upstream::new("drafts".into(), address, "dc-0".into());
    intent.upstreams.insert("lossy".into(), only);
    site.configure(&intent).await;
    let auth = format!("Bearer {KEY}");
    let headers = [
        ("Authorization", auth.as_str()),
        ("Idempotency-Key", "once"),
        ("Cloverpier-Repeatable", "false"),
    ];
    let body = json!({"model": "drafts", "prompt": "a log", "max_tokens": TOKENS}).to_string();
    let begun = Instant::now();
    let (status, answer) = site.raw("/v1/completions", &headers, &body).await;
    (status, answer, begun.elapsed())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_goes_on_over_another_connection() {
    let (status, answer, took) = generate_once(Resume::Rest).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["usage"]["completion_tokens"], TOKENS, "{answer}");
    assert!(took < SOON, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_that_may_run_once_ends_soon_when_its_engine_does_not_know_it_any_more() {
    let (status, answer, took) = generate_once(Resume::NotFound).await;
    assert_eq!(status, 502, "{answer}");
    assert_eq!(answer["error"]["run"], "unknown", "{answer}");
    assert!(took < SOON, "{took:?}");
}
