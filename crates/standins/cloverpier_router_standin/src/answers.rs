//! The answers of a upstream, right and wrong, byte by byte.

use crate::upstream::{Asked, Fault};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Events of a whole stream.
pub const EVENTS: u64 = 40;

/// The whole body of a plain answer.
pub fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

pub(crate) async fn answer_plainly(stream: &mut TcpStream, asked: &Asked) -> io::Result<bool> {
    let body = plain_body(&asked.id);
    let id = (asked.names.request_id.as_str(), asked.id.as_str());
    let signature = (asked.names.signature.as_str(), asked.upstream.name.as_str());
    match asked.fault {
        None | Some(Fault::Refuse) => {
            write_answer(stream, 200, &[id, signature], body.as_bytes()).await?;
            Ok(true)
        }
        Some(Fault::Fail) => {
            write_answer(stream, 500, &[id, signature], b"failed").await?;
            Ok(true)
        }
        Some(Fault::LoseAnswer) => Ok(false),
        Some(Fault::Mute) => {
            std::future::pending::<()>().await;
            Ok(false)
        }
        Some(Fault::BreakOff) => {
            let whole = head_text(200, &[id, signature], body.len());
            stream.write_all(whole.as_bytes()).await?;
            stream.write_all(&body.as_bytes()[..body.len() / 2]).await?;
            Ok(false)
        }
        Some(Fault::ResetUnframed) => {
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\n\r\n",
                id.0, id.1, signature.0, signature.1
            );
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&body.as_bytes()[..body.len() / 2]).await?;
            stream.flush().await?;
            // Closing at once with a zero linger resets instead of ending cleanly.
            stream.set_zero_linger()?;
            Ok(false)
        }
        Some(Fault::WrongId) => {
            let wrong = (asked.names.request_id.as_str(), "another");
            write_answer(stream, 200, &[wrong, signature], b"another's answer").await?;
            Ok(true)
        }
        Some(Fault::Unsigned) => {
            write_answer(stream, 200, &[id], body.as_bytes()).await?;
            Ok(true)
        }
        Some(Fault::Surplus) => {
            let mut bytes = head_text(200, &[id, signature], body.len()).into_bytes();
            bytes.extend_from_slice(body.as_bytes());
            let wrong = (asked.names.request_id.as_str(), "another");
            bytes.extend_from_slice(head_text(200, &[wrong, signature], 4).as_bytes());
            bytes.extend_from_slice(b"more");
            stream.write_all(&bytes).await?;
            Ok(true)
        }
    }
}

/// The bytes of one event of the stream that a prompt gets.
pub fn event_bytes(prompt: &str, id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: {prompt}-{id}\n\n").into_bytes()
}

pub(crate) async fn stream_events(
    stream: &mut TcpStream,
    asked: &Asked,
    prompt: &str,
) -> io::Result<bool> {
    let names = &asked.names;
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n",
        names.request_id, asked.id, names.signature, asked.upstream.name
    );
    stream.write_all(head.as_bytes()).await?;
    let middle = asked.last_event + (EVENTS - asked.last_event.min(EVENTS)) / 2;
    for id in asked.last_event + 1..=EVENTS {
        let event = event_bytes(prompt, id);
        if id == middle {
            match asked.fault {
                Some(Fault::BreakOff | Fault::LoseAnswer | Fault::ResetUnframed) => {
                    write_chunk(stream, &event[..event.len() / 2]).await?;
                    return Ok(false);
                }
                Some(Fault::Mute) => std::future::pending::<()>().await,
                _ => {}
            }
        }
        write_chunk(stream, &event).await?;
        tokio::time::sleep(asked.event_interval).await;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

async fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk).await
}

pub(crate) async fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head_text(status, headers, body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}

fn head_text(status: u16, headers: &[(&str, &str)], length: usize) -> String {
    let lines: String = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    format!("HTTP/1.1 {status} Status\r\n{lines}content-length: {length}\r\n\r\n")
}
