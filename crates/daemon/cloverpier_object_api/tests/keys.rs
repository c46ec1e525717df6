//! Keys of objects that hold characters which mean something in a URL.

use cloverpier_object_api::PlatformClient;
use percent_encoding::percent_decode_str;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const KEYS: [&str; 9] = [
    "cloverpier/plans/vm#1-7",
    "cloverpier/plans/vm&1-7",
    "cloverpier/plans/vm+1-7",
    "cloverpier/plans/vm 1-7",
    "cloverpier/plans/vm%41-7",
    "cloverpier/plans/vm%-7",
    "cloverpier/plans/x?after=9",
    "cloverpier/plans/größe",
    "cloverpier/plans/a\"b\\c",
];

type Targets = Arc<Mutex<Vec<String>>>;

/// Starts a platform that answers every call alike, and notes the targets.
async fn platform() -> (SocketAddr, Targets) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let targets = Targets::default();
    let noted = Arc::clone(&targets);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let noted = Arc::clone(&noted);
            tokio::spawn(async move {
                // Each request fits into one read.
                let mut buf = vec![0; 4 << 10];
                let count = stream.read(&mut buf).await.unwrap();
                let text = String::from_utf8_lossy(&buf[..count]).into_owned();
                let target = text.split(' ').nth(1).unwrap_or_default();
                noted.lock().unwrap().push(target.to_owned());
                let body = r#"{"version":1,"value":7}"#;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\
                     content-length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes()).await.unwrap();
            });
        }
    });
    (address, targets)
}

/// The key that a platform reads from the target of a call.
fn key_of(target: &str) -> Option<String> {
    let path = target.split('?').next()?.strip_prefix("/objects/")?;
    let key = percent_decode_str(path).decode_utf8();
    key.ok().map(|key| key.into_owned())
}

#[tokio::test]
async fn each_call_names_the_object_that_is_meant() {
    let (address, targets) = platform().await;
    let client = PlatformClient::new(address);
    for key in KEYS {
        targets.lock().unwrap().clear();
        let read = client.read::<u64>(key).await;
        let watched = client.watch::<u64>(key, 3, Duration::from_millis(10)).await;
        let written = client.write(key, 0, &7_u64).await;
        let outcomes = (read.is_ok(), watched.is_ok(), written.is_ok());
        let named: Vec<_> = targets.lock().unwrap().iter().map(|t| key_of(t)).collect();
        assert_eq!(named, vec![Some(key.to_owned()); 3], "{outcomes:?}");
        let watch = targets.lock().unwrap()[1].clone();
        assert!(watch.ends_with("?after=3&wait_ms=10"), "{watch}");
    }
}
