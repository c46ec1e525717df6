//! Encoding, decoding and compression of messages between routers.
//!
//! Works with any serializable type. Owns the bound on the size of a decompressed message.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io::{self, Read, Write};

/// The encoding, decoding, compression or decompression of a message failed.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value can't be encoded as `MessagePack`.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a message, or are a message that this release does not define.
    #[snafu(display("cannot decode a peer message: {source}"))]
    Decode {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// The compressor failed.
    #[snafu(display("cannot compress a peer message: {source}"))]
    Compress {
        /// The codec's error.
        source: io::Error,
    },
    /// The bytes are not `gzip`, are incomplete, or decompress to more than 16 MiB.
    #[snafu(display("cannot decompress a peer message: {source}"))]
    Decompress {
        /// The codec's error.
        source: io::Error,
    },
}

/// Maximum size of a decompressed message, so that a broken copy can't exhaust the memory. It is 15 times the
/// uncompressed copy of a configuration with 14,000 routes (1,078,022 bytes).
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Encodes a message as `MessagePack` without field names.
///
/// # Errors
///
/// [`CodecError::Encode`] if the value can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(message).context(EncodeSnafu)
}

/// Decodes a message that [`encode`] wrote.
///
/// # Errors
///
/// [`CodecError::Decode`] if the bytes are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}

/// Compresses an encoded message with `gzip` at its fastest level.
///
/// Compression saves bandwidth on slow links: it reduces a configuration to a sixth of its size.
///
/// # Errors
///
/// [`CodecError::Compress`] if the compressor fails.
pub fn compress(bytes: &[u8]) -> Result<Bytes, CodecError> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).context(CompressSnafu)?;
    let compressed = encoder.finish().context(CompressSnafu)?;
    Ok(compressed.into())
}

/// Decompresses a message that [`compress`] wrote.
///
/// # Errors
///
/// [`CodecError::Decompress`] if the bytes are not `gzip`, are incomplete, or decompress to more than 16 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut message = Vec::new();
    let mut decoder = GzDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES + 1);
    decoder.read_to_end(&mut message).context(DecompressSnafu)?;
    if message.len() as u64 > MAX_DECOMPRESSED_BYTES {
        let too_long = io::Error::from(io::ErrorKind::FileTooLarge);
        return Err(too_long).context(DecompressSnafu);
    }
    Ok(message)
}
