//! Upstreams in trouble whose answers are none by HTTP/1.1, and answers that come before a long upload has ended.

use bytes::Bytes;
use cloverpier_upstream::{EnginePool, GenerateBody, PlainCall, PlainError, call_plain};
use reqwest::{Client, Method};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Heads that no answer may have; the body of each is "{}".
fn odd_heads() -> Vec<String> {
    let length = "content-length: 2\r\n";
    let status_lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 101 X",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
    ];
    let odd_lines = [
        "odd name: x",
        "odd\u{1}name: x",
        "odd\u{0}name: x",
        "odd\u{7f}name: x",
        " odd: x",
        "odd : x",
        ": x",
        "odd",
        "content-length : 1",
        "content length: 1",
        "transfer-encoding : chunked",
        "odd: x\u{1}y",
    ];
    let status_lines = status_lines.map(|line| format!("{line}\r\n{length}\r\n"));
    let lines = odd_lines.iter().flat_map(|line| {
        let ok = "HTTP/1.1 200 OK\r\n";
        [
            format!("{ok}{line}\r\n{length}\r\n"),
            format!("{ok}{length}{line}\r\n\r\n"),
        ]
    });
    let codings = ["gzip", "identity", "gzip, chunked", "deflate"];
    let codings =
        codings.map(|coding| format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {coding}\r\n\r\n"));
    let heads = status_lines.into_iter().chain(lines);
    heads.chain(codings).collect()
}

/// Starts an upstream that answers the first bytes of each connection with `answer`.
async fn upstream(answer: Vec<u8>, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                // A connection that breaks concerns nobody else.
                let _ = serve(stream, &answer, closes).await;
            });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: &[u8], closes: bool) -> std::io::Result<()> {
    let mut buf = [0; 4 << 10];
    if stream.read(&mut buf).await? == 0 {
        return Ok(());
    }
    stream.write_all(answer).await?;
    if closes {
        // While bytes of an upload are unread, that is a reset.
        return Ok(());
    }
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

fn call(body: Vec<u8>) -> PlainCall {
    PlainCall {
        method: Method::POST,
        path: "/".to_owned(),
        content_type: None,
        key: "key".to_owned(),
        body: Bytes::from(body),
        timeout: Duration::from_secs(10),
    }
}

#[tokio::test]
async fn a_plain_answer_with_an_odd_head_is_none_and_may_have_run() {
    for head in odd_heads() {
        let address = upstream(format!("{head}{{}}").into_bytes(), true).await;
        let result = call_plain(&Client::new(), address, &call(Vec::new())).await;
        let is_none = matches!(
            result,
            Err(PlainError::NoResponse { .. } | PlainError::InvalidHead { .. })
        );
        assert!(is_none, "{head:?}: {result:?}");
    }
}

#[tokio::test]
async fn a_stream_or_a_load_report_with_an_odd_head_is_none() {
    let body = GenerateBody {
        generation: "g".to_owned(),
        model: "m".into(),
        prompt: "p".into(),
        prefix: Vec::new(),
        max_tokens: 4,
        priority: 5,
        adapter: None,
    };
    for head in odd_heads() {
        let address = upstream(format!("{head}{{}}").into_bytes(), true).await;
        let engine = EnginePool::new().engine(address);
        let started = engine.generate(&body).await.err();
        let may_have_run = started.as_ref().is_some_and(|error| !error.not_run());
        assert!(may_have_run, "{head:?}: {started:?}");
        assert!(engine.load().await.is_err(), "{head:?}");
    }
}

#[tokio::test]
async fn an_early_answer_that_is_reset_during_the_upload_is_none_and_may_have_run() {
    for part in [1, 8 << 10, 400 << 10] {
        let answer = [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'x'; part]].concat();
        let address = upstream(answer, true).await;
        for _ in 0..20 {
            let call = call(vec![b'u'; 16 << 20]);
            let result = call_plain(&Client::new(), address, &call).await;
            let is_none = matches!(result, Err(PlainError::NoResponse { .. }));
            assert!(is_none, "{part}: {:?}", result.map(|r| r.body.len()));
        }
    }
}
