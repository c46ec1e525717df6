//! Harms of a link to the connections of one process.

use cloverpier_router_standin::link::{Harm, Link};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Long enough for an echo over loopback.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long nothing may arrive over a silent link.
const SILENCE: Duration = Duration::from_millis(300);

/// A link to a listener that sends back what it receives.
async fn link_to_echo() -> Link {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    Link::start(address).await.unwrap()
}

/// Sends a byte and waits for its return.
async fn echo(connection: &mut TcpStream) -> io::Result<u8> {
    connection.write_u8(7).await?;
    tokio::time::timeout(PATIENCE, connection.read_u8()).await?
}

/// A process that has opened no connection.
fn other_process() -> std::process::Child {
    let mut command = std::process::Command::new("sleep");
    command.arg("60").spawn().unwrap()
}

#[tokio::test]
async fn a_harm_to_this_process_strikes_its_open_and_its_new_connections() {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address()).await.unwrap();
    assert_eq!(echo(&mut open).await.unwrap(), 7);
    link.set_harm_to_process(std::process::id(), Harm::Silence);
    let mut new = TcpStream::connect(link.address()).await.unwrap();
    for connection in [&mut open, &mut new] {
        connection.write_u8(7).await.unwrap();
        let answer = tokio::time::timeout(SILENCE, connection.read_u8()).await;
        assert!(answer.is_err(), "{answer:?}");
    }
    link.set_harm_to_process(std::process::id(), Harm::Reset);
    for connection in [&mut open, &mut new] {
        let answer = tokio::time::timeout(PATIENCE, connection.read_u8()).await;
        assert!(matches!(answer, Ok(Err(_))), "{answer:?}");
    }
}

#[tokio::test]
async fn a_harm_to_another_process_strikes_no_connection_of_this_one() {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address()).await.unwrap();
    assert_eq!(echo(&mut open).await.unwrap(), 7);
    let mut other = other_process();
    link.set_harm_to_process(other.id(), Harm::Reset);
    let mut new = TcpStream::connect(link.address()).await.unwrap();
    for connection in [&mut open, &mut new] {
        assert_eq!(echo(connection).await.unwrap(), 7);
    }
    other.kill().unwrap();
    other.wait().unwrap();
}
