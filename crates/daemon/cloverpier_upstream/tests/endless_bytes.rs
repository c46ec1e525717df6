//! Upstreams whose answers never end.

use bytes::Bytes;
use cloverpier_upstream::{BodyError, EnginePool, LoadError, PlainCall, PlainError, call_plain};
use reqwest::{Client, Method};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts an upstream that answers each connection with a head and a body without an end.
async fn endless_upstream() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // Each request fits into one read.
                let read = stream.read(&mut [0; 4 << 10]).await;
                assert!(read.is_ok(), "{read:?}");
                let head = b"HTTP/1.1 200 OK\r\n\r\n";
                let mut sent = stream.write_all(head).await;
                while sent.is_ok() {
                    sent = stream.write_all(&[b'x'; 64 << 10]).await;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_load_report_without_an_end_is_given_up_by_its_length() {
    let engine = EnginePool::new().engine(endless_upstream().await);
    let error = engine.load().await.unwrap_err();
    let is_too_long = matches!(
        error,
        LoadError::Body {
            source: BodyError::TooLong { .. }
        }
    );
    assert!(is_too_long, "{error:?}");
}

#[tokio::test]
async fn a_plain_answer_without_an_end_is_given_up_by_its_length_and_may_have_run() {
    let call = PlainCall {
        method: Method::GET,
        path: "/".to_owned(),
        content_type: None,
        key: "key".to_owned(),
        body: Bytes::new(),
        timeout: Duration::from_secs(10),
    };
    let address = endless_upstream().await;
    let error = call_plain(&Client::new(), address, &call)
        .await
        .unwrap_err();
    assert!(matches!(error, PlainError::TooLong { .. }), "{error:?}");
}
