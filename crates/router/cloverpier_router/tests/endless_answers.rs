//! A store, or a peer, whose answers never end.

use cloverpier_router::{CallError, DownloadTimeouts, HttpClient};
use cloverpier_timers::Timers;
use hyper::header::HeaderMap;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that answers with `head`, and then with `part` until the other side closes; returns how many bytes it
/// could send once that has closed.
async fn endless(head: &'static [u8], part: &'static [u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let read = stream.read(&mut [0; 4 << 10]).await;
        assert!(read.is_ok(), "{read:?}");
        let many = part.repeat((64 << 10) / part.len());
        let mut sent = stream.write_all(head).await.map(|()| 0);
        let mut count = 0;
        while sent.is_ok() {
            sent = stream.write_all(&many).await.map(|()| many.len());
            count += many.len();
        }
        count
    });
    (address, sending)
}

/// A chunk of 1,024 bytes.
const CHUNK: [u8; 1_031] = {
    let mut chunk = [b'x'; 1_031];
    chunk.split_at_mut(5).0.copy_from_slice(b"400\r\n");
    chunk.split_at_mut(1_029).1.copy_from_slice(b"\r\n");
    chunk
};
/// Far more than any answer is read of, and than the sockets between the two hold.
const MOST_SENT: usize = 32 << 20;

async fn is_given_up(head: &'static [u8], part: &'static [u8]) {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (address, sending) = endless(head, part).await;
            let client = HttpClient::new(address, TIMEOUT, Timers::default());
            let error = client.get("/", TIMEOUT).await.unwrap_err();
            assert!(!matches!(error, CallError::TimedOut), "{error}");
            drop(client);
            assert!(sending.await.unwrap() < MOST_SENT);
            let (address, sending) = endless(head, part).await;
            let client = HttpClient::new(address, TIMEOUT, Timers::default());
            let timeouts = DownloadTimeouts {
                head: TIMEOUT,
                stall: TIMEOUT,
            };
            let download = client.download("/", HeaderMap::new(), timeouts, pending());
            let error = download.await.unwrap_err();
            assert!(!matches!(error, CallError::TimedOut), "{error}");
            assert!(sending.await.unwrap() < MOST_SENT);
        })
        .await;
}

#[tokio::test]
async fn an_endless_head_is_given_up() {
    is_given_up(b"HTTP/1.1 200 OK\r\n", b"x-more: and more\r\n").await;
}

#[tokio::test]
async fn an_endless_line_is_given_up() {
    is_given_up(b"HTTP/1.1 200 OK\r\nx-more: ", b"x").await;
}

#[tokio::test]
async fn an_endless_body_is_given_up() {
    is_given_up(b"HTTP/1.1 200 OK\r\n\r\n", b"x").await;
}

#[tokio::test]
async fn an_endless_body_in_chunks_is_given_up() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    is_given_up(head, &CHUNK).await;
}

#[tokio::test]
async fn endless_trailers_are_given_up() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n";
    is_given_up(head, b"x-more: and more\r\n").await;
}

#[tokio::test]
async fn an_endless_chunk_extension_is_given_up() {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;";
    is_given_up(head, b"more=more;").await;
}
