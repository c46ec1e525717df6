//! A parser of server-sent events.
//!
//! Owns the buffer with the bytes of the next, still incomplete event. Implements the subset of WHATWG
//! HTML, "Server-sent events", that the routers' responses use: lines end with a line feed, and a
//! field's name and value are separated by a colon and a space.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use reqwest::Response;

/// One event; fields that the event doesn't have are `None` or empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<String>,
    pub(crate) kind: Option<String>,
    pub(crate) data: String,
}

/// The events of a response, parsed as they arrive.
pub(crate) struct Events {
    body: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    buf: BytesMut,
}

impl Events {
    pub(crate) fn new(res: Response) -> Self {
        Self {
            body: res.bytes_stream().boxed(),
            buf: BytesMut::new(),
        }
    }

    /// Returns the next event; `None` once the connection ended or broke.
    ///
    /// Cancellation-safe: no bytes are lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Option<Event> {
        loop {
            let end = self.buf.windows(2).position(|w| w == b"\n\n");
            if let Some(end) = end {
                let block = self.buf.split_to(end + 2);
                return Some(parse(&String::from_utf8_lossy(&block)));
            }
            let chunk = self.body.next().await?.ok()?;
            self.buf.extend_from_slice(&chunk);
        }
    }
}

fn parse(block: &str) -> Event {
    let mut event = Event::default();
    for line in block.lines() {
        let Some((field, value)) = line.split_once(": ") else {
            continue;
        };
        match field {
            "id" => event.id = Some(value.to_owned()),
            "event" => event.kind = Some(value.to_owned()),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
