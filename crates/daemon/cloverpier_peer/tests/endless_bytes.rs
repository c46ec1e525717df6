//! A peer whose replies never end.

use cloverpier_core::Secret;
use cloverpier_peer::{PeerClient, PeerRequest};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Far more than any reply is read of, and than the sockets between the two hold.
const MOST_SENT: usize = 128 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reply_without_an_end_is_given_up_by_its_length() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let read = stream.read(&mut [0; 4 << 10]).await;
        assert!(read.is_ok(), "{read:?}");
        let mut writing = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while writing.is_ok() {
            writing = stream.write_all(&[b'x'; 64 << 10]).await;
            count.fetch_add(64 << 10, Ordering::Relaxed);
        }
    });
    let client = PeerClient::new(Secret::new("peers"));
    let timeout = Duration::from_secs(4);
    let reply = client.call(address, &PeerRequest::PullRoot, timeout).await;
    assert!(reply.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MOST_SENT, "{sent} bytes");
}
