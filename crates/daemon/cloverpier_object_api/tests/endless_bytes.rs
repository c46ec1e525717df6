//! A platform whose answers never end.

use cloverpier_object_api::{PlatformClient, WriteError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Far more than any answer is read of, and than the sockets between the two hold.
const MOST_SENT: usize = 64 << 20;

/// Starts a platform that answers with a body without an end; counts the bytes that it sends.
async fn endless_platform() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let read = stream.read(&mut [0; 4 << 10]).await;
                assert!(read.is_ok(), "{read:?}");
                let head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
                let mut writing = stream.write_all(head).await;
                while writing.is_ok() {
                    writing = stream.write_all(&[b' '; 64 << 10]).await;
                    count.fetch_add(64 << 10, Ordering::Relaxed);
                }
            });
        }
    });
    (address, sent)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_an_end_are_given_up_by_their_length() {
    let (address, sent) = endless_platform().await;
    let client = PlatformClient::new(address);
    assert!(client.read::<u64>("key").await.is_err());
    let watched = client.watch::<u64>("key", 1, Duration::from_millis(10));
    assert!(watched.await.is_err());
    let written = client.write("key", 0, &7_u64).await;
    let is_unknown = matches!(written, Err(WriteError::OutcomeUnknown { .. }));
    assert!(is_unknown, "{written:?}");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MOST_SENT, "{sent} bytes");
}
