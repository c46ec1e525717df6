//! Reads server-sent events from a stream of bytes.
//!
//! Owns the bytes that form no whole event yet. Follows the line rules of WHATWG HTML, "Server-
//! sent events", as far as a client of this API needs them.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use reqwest::Response;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<String>,
    pub(crate) kind: Option<String>,
    pub(crate) data: String,
}

/// The events of a response.
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

    /// The next event; `None` when the connection ended or broke.
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
