//! Writes and reads messages between routers, and compresses the longer ones.
//!
//! Knows no message. Owns the bound on what is decompressed.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io::{self, Read, Write};

/// A message could not be written or read.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// A message could not be written.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// Bytes are no message, or one of another release.
    #[snafu(display("cannot decode a peer message: {source}"))]
    Decode {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// A message could not be compressed.
    #[snafu(display("cannot compress a peer message: {source}"))]
    Compress {
        /// The codec's error.
        source: io::Error,
    },
    /// Bytes are not compressed, torn, or too many.
    #[snafu(display("cannot decompress a peer message: {source}"))]
    Decompress {
        /// The codec's error.
        source: io::Error,
    },
}

/// Bytes of the longest message that is decompressed: 15 times a plain copy of 14,000 routes
/// (1,078,022 bytes).
const MAX_DECOMPRESSED: u64 = 16 * 1024 * 1024;

/// Writes a message.
///
/// # Errors
///
/// [`CodecError::Encode`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(message).context(EncodeSnafu)
}

/// Reads a message.
///
/// # Errors
///
/// [`CodecError::Decode`] for bytes of another shape.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}

/// Compresses the bytes of a message, as `gzip`.
///
/// It spares narrow links: a configuration becomes a sixth of its bytes.
///
/// # Errors
///
/// [`CodecError::Compress`].
pub fn compress(bytes: &[u8]) -> Result<Bytes, CodecError> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).context(CompressSnafu)?;
    let compressed = encoder.finish().context(CompressSnafu)?;
    Ok(compressed.into())
}

/// Reads what [`compress`] wrote.
///
/// # Errors
///
/// [`CodecError::Decompress`] for other bytes, torn ones, or ones that hold more than 16 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = Vec::new();
    let mut decoder = GzDecoder::new(bytes).take(MAX_DECOMPRESSED + 1);
    decoder.read_to_end(&mut message).context(DecompressSnafu)?;
    if message.len() as u64 > MAX_DECOMPRESSED {
        let too_long = io::Error::from(io::ErrorKind::FileTooLarge);
        return Err(too_long).context(DecompressSnafu);
    }
    Ok(message)
}
