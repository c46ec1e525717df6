//! The little HTTP/1.1 that stand-ins need.

use std::collections::HashMap;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

const MOST_HEAD: usize = 64 * 1024;

/// A request or an answer's head, its header names in lower case.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    /// The first line.
    pub first_line: String,
    /// Headers; the last of equal ones counts.
    pub headers: HashMap<String, String>,
}

impl Head {
    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The length of the body that follows.
    pub fn content_length(&self) -> usize {
        let length = self.get("content-length").and_then(|v| v.parse().ok());
        length.unwrap_or(0)
    }

    /// The word of the first line at a position.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub(crate) async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Head>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = parse_head(&String::from_utf8_lossy(buffer));
            *buffer = rest;
            return Ok(Some(head));
        }
        if buffer.len() > MOST_HEAD || !read_more(stream, buffer).await? {
            return Ok(None);
        }
    }
}

/// Reads a body of a known length.
pub(crate) async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    length: usize,
) -> io::Result<Option<Vec<u8>>> {
    while buffer.len() < length {
        if !read_more(stream, buffer).await? {
            return Ok(None);
        }
    }
    let rest = buffer.split_off(length);
    Ok(Some(std::mem::replace(buffer, rest)))
}

/// Reads what is there; false at the end of the connection.
pub(crate) async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<bool> {
    let mut bytes = [0; 8_192];
    let count = stream.read(&mut bytes).await?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers = pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head {
        first_line,
        headers: headers.collect(),
    }
}
