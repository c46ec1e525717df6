//! Reads response bodies up to a maximum length, because a faulty upstream, peer or platform may send endless bytes.
//!
//! The daemon's clients of upstreams, peers and the platform read whole bodies with [`read_body`]. Owns no state.

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use snafu::{ResultExt, Snafu};

/// The reason why a body was not read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke, or the timeout of the call passed, before the end of the body.
    #[snafu(display("the response is not complete: {source}"))]
    Broken {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The body is longer than the call accepts.
    #[snafu(display("the response is longer than {limit} bytes"))]
    TooLong {
        /// The maximum length in bytes.
        limit: usize,
    },
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError`]; the connection is closed then.
pub async fn read_body(mut res: Response, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = res.chunk().await.context(BrokenSnafu)? {
        body.extend_from_slice(&chunk);
        if body.len() > limit {
            return TooLongSnafu { limit }.fail();
        }
    }
    Ok(body.freeze())
}
