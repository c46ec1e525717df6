//! The answers of an upstream, right and wrong, byte by byte.

use crate::ledger::Fault;
use crate::upstream::{Asked, until_unpaused};
use cloverpier_core::SoftwareVersion;
use cloverpier_net::TcpStream;
use std::io;
use tokio::io::AsyncWriteExt;

/// Events of a whole stream.
pub const EVENTS: u64 = 40;

/// The whole body of a plain answer.
pub fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

/// A request whose body begins so, and goes on with a number, gets an answer of as many bytes.
pub const ANSWER_OF_BYTES: &str = "answer-of-bytes=";

/// The length of the answer that a request's body asks for; `None` where it asks for none.
pub(crate) fn asked_length(body: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix(ANSWER_OF_BYTES)?.parse().ok()
}

/// What an upstream does with its connection after an answer.
enum Then {
    /// Waits for the next request.
    Keep,
    /// Closes it.
    Close,
    /// Resets it.
    Reset,
    /// Says nothing more.
    Hang,
    /// Repeats these bytes until the other side closes.
    Repeat(&'static [u8]),
}

/// A line of a head that never ends.
pub(crate) const ENDLESS_LINE: &[u8] = b"x-more: and more, and more, and more, and more\r\n";
/// A part of a body that never ends.
pub(crate) const ENDLESS_TEXT: &[u8] = &[b'x'; 16 * 1024];
/// An event of a stream that never ends.
const ENDLESS_EVENT: &[u8] = b"data: and more\n\n";

/// Writes the same bytes until the other side closes.
pub(crate) async fn repeat(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<bool> {
    let many = bytes.repeat((64 * 1024 / bytes.len()).max(1));
    loop {
        stream.write_all(&many).await?;
    }
}

/// Answers a plain request; false when the connection is to end.
pub(crate) async fn answer_plainly(stream: &mut TcpStream, asked: &Asked) -> io::Result<bool> {
    until_unpaused(&asked.pause).await;
    let (bytes, then) = plain_answer(asked);
    stream.write_all(&bytes).await?;
    match then {
        Then::Keep => Ok(true),
        Then::Close => Ok(false),
        Then::Reset => {
            stream.flush().await?;
            // Closing at once with a zero linger resets instead of ending cleanly.
            stream.set_zero_linger()?;
            Ok(false)
        }
        Then::Hang => {
            std::future::pending::<()>().await;
            Ok(false)
        }
        Then::Repeat(bytes) => repeat(stream, bytes).await,
    }
}

/// The bytes of a plain answer, right or with the fault that was asked for.
fn plain_answer(asked: &Asked) -> (Vec<u8>, Then) {
    let body = match asked.length {
        Some(length) => "x".repeat(length),
        None => plain_body(&asked.id),
    };
    let names = &asked.names;
    let id = (names.request_id.to_string(), asked.id.clone());
    let wrong_id = (names.request_id.to_string(), "another".to_owned());
    let signature = (names.signature.to_string(), asked.upstream.name.to_string());
    let with = |header: &(String, String)| [std::slice::from_ref(header), &asked.said].concat();
    let signed = [with(&id), vec![signature.clone()]].concat();
    let whole = || answer_bytes(200, &signed, body.as_bytes());
    match asked.fault {
        None | Some(Fault::Refuse) => (whole(), Then::Keep),
        Some(Fault::Fail) => (answer_bytes(500, &signed, b"failed"), Then::Keep),
        Some(Fault::LoseAnswer) => (Vec::new(), Then::Close),
        Some(Fault::ResetAnswer) => (Vec::new(), Then::Reset),
        Some(Fault::Mute) => (Vec::new(), Then::Hang),
        Some(Fault::BreakOff) => {
            let mut half = whole();
            half.truncate(half.len() - body.len().div_ceil(2));
            (half, Then::Close)
        }
        Some(Fault::ResetUnframed) => (unframed_half(&signed, &body), Then::Reset),
        Some(Fault::WrongId) => {
            let headers = [with(&wrong_id), vec![signature]].concat();
            let answer = answer_bytes(200, &headers, b"another's answer");
            (answer, Then::Keep)
        }
        Some(Fault::Unsigned) => (answer_bytes(200, &with(&id), body.as_bytes()), Then::Keep),
        Some(Fault::EndlessHead) => {
            let line = b"HTTP/1.1 200 OK\r\n".to_vec();
            (line, Then::Repeat(ENDLESS_LINE))
        }
        Some(Fault::EndlessBody) => {
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", header_lines(&signed));
            (head.into_bytes(), Then::Repeat(ENDLESS_TEXT))
        }
        Some(Fault::EndlessFailure) => {
            let lines = header_lines(&signed);
            let head = format!("HTTP/1.1 500 Status\r\n{lines}\r\n");
            (head.into_bytes(), Then::Repeat(ENDLESS_TEXT))
        }
        Some(Fault::EndlessEvents) => {
            let lines = header_lines(&signed);
            let head = format!("HTTP/1.1 200 OK\r\n{lines}content-type: text/event-stream\r\n\r\n");
            (head.into_bytes(), Then::Repeat(ENDLESS_EVENT))
        }
        Some(Fault::StopAfter(bytes)) => {
            let mut part = whole();
            part.truncate(bytes);
            (part, Then::Close)
        }
        Some(Fault::EndAfterHead) => (unframed_half(&signed, ""), Then::Close),
        Some(Fault::Surplus) => {
            let surplus = answer_bytes(200, &[wrong_id, signature], b"more");
            ([whole(), surplus].concat(), Then::Keep)
        }
    }
}

/// A head without a length, and half of the body.
fn unframed_half(headers: &[(String, String)], body: &str) -> Vec<u8> {
    let lines = header_lines(headers);
    let half = &body[..body.len() / 2];
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n{half}").into_bytes()
}

/// Stands between an event's text and the software version of the upstream that wrote the event.
const WRITTEN_AT: &str = " written-at ";

/// The bytes of one event of the stream that a prompt gets. `version` is the software version that writes it; `None` for
/// an upstream without one.
pub fn event_bytes(prompt: &str, id: u64, version: Option<&str>) -> Vec<u8> {
    let text = match version {
        Some(version) => format!("{prompt}-{id}{WRITTEN_AT}{version}"),
        None => format!("{prompt}-{id}"),
    };
    format!("id: {id}\ndata: {text}\n\n").into_bytes()
}

/// The software version that wrote an event; `None` for an event that names none.
pub fn version_of_event(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let (_, version) = text.split_once(WRITTEN_AT)?;
    Some(version.trim_end().to_owned())
}

pub(crate) async fn stream_events(
    stream: &mut TcpStream,
    asked: &Asked,
    prompt: &str,
) -> io::Result<bool> {
    let names = &asked.names;
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\n{}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n",
        names.request_id,
        asked.id,
        names.signature,
        asked.upstream.name,
        header_lines(&asked.said),
    );
    stream.write_all(head.as_bytes()).await?;
    let version = asked.upstream.version().map(SoftwareVersion::as_str);
    let middle = asked.last_event + (EVENTS - asked.last_event.min(EVENTS)) / 2;
    for id in asked.last_event + 1..=EVENTS {
        until_unpaused(&asked.pause).await;
        let event = event_bytes(prompt, id, version);
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
        let interval = match &asked.engine {
            Some(engine) => engine.paced(asked.event_interval),
            None => asked.event_interval,
        };
        tokio::time::sleep(interval).await;
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
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&answer_bytes(status, headers, body)).await
}

fn answer_bytes(status: u16, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = head_text(status, headers, body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn head_text(status: u16, headers: &[(String, String)], length: usize) -> String {
    let lines = header_lines(headers);
    format!("HTTP/1.1 {status} Status\r\n{lines}content-length: {length}\r\n\r\n")
}

fn header_lines(headers: &[(String, String)]) -> String {
    let lines = headers.iter().map(|(n, v)| format!("{n}: {v}\r\n"));
    lines.collect()
}
