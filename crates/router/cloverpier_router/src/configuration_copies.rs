//! The configuration in force, with its encoded copies for peers.
//!
//! [`ConfigurationWithCopies`] owns both. Each version is encoded once, for all peers that request it, or not
//! at all if this router received its encoded bytes from a peer. Large configurations are encoded and decoded
//! on a background thread ([`crate::background`]), so that they don't delay requests. Peers whose requests
//! don't accept compression, as those of old releases, receive an uncompressed copy.

use crate::background::run_in_background;
use crate::peer_messages::{CodecError, compress, decode, decompress, encode};
use bytes::Bytes;
use cloverpier_router_policy::prelude::*;
use std::sync::Arc;
use tokio::sync::OnceCell;

/// Approximate size in bytes of a route in an uncompressed copy; routes with long names take more.
const ESTIMATED_ROUTE_BYTES: usize = 100;

/// The content encoding of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CopyEncoding {
    /// Uncompressed `MessagePack`.
    Plain,
    /// `MessagePack` compressed with `gzip`.
    Compressed,
}

/// An indexed configuration, with its encoded copies for peers.
#[derive(Debug)]
pub(crate) struct ConfigurationWithCopies {
    index: Arc<ConfigurationIndex>,
    /// The uncompressed copy; empty until a peer sent or requested it.
    plain: OnceCell<Bytes>,
    /// The compressed copy; empty until a peer sent or requested it.
    compressed: OnceCell<Bytes>,
}

impl ConfigurationWithCopies {
    /// Indexes a configuration, as read from the store, without any copy.
    pub async fn from_configuration(configuration: Configuration) -> Self {
        let size = estimated_bytes(&configuration);
        let index = move || Arc::new(ConfigurationIndex::new(configuration));
        Self {
            index: run_in_background(size, index).await,
            plain: OnceCell::new(),
            compressed: OnceCell::new(),
        }
    }

    /// Decodes and indexes a copy from a peer, and keeps its bytes for other peers.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes are not a configuration in this encoding.
    pub async fn from_copy(bytes: Bytes, encoding: CopyEncoding) -> Result<Self, CodecError> {
        let copy = bytes.clone();
        let index = run_in_background(bytes.len(), move || decode_index(&copy, encoding));
        let index = index.await?;
        let kept = OnceCell::new_with(Some(bytes));
        let (plain, compressed) = match encoding {
            CopyEncoding::Plain => (kept, OnceCell::new()),
            CopyEncoding::Compressed => (OnceCell::new(), kept),
        };
        Ok(Self {
            index,
            plain,
            compressed,
        })
    }

    /// The indexed configuration, by which requests are routed.
    pub fn index(&self) -> &Arc<ConfigurationIndex> {
        &self.index
    }

    /// The copy in this encoding, which the first call encodes.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the configuration can't be encoded or compressed.
    pub async fn copy(&self, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
        let cell = match encoding {
            CopyEncoding::Plain => &self.plain,
            CopyEncoding::Compressed => &self.compressed,
        };
        let write = || {
            let index = Arc::clone(&self.index);
            let size = estimated_bytes(index.unindexed());
            run_in_background(size, move || encode_copy(index.unindexed(), encoding))
        };
        cell.get_or_try_init(write).await.cloned()
    }
}

/// Approximate size in bytes of an uncompressed copy. Only routes are counted, as the rest is small.
fn estimated_bytes(configuration: &Configuration) -> usize {
    configuration.routes.len() * ESTIMATED_ROUTE_BYTES
}

fn decode_index(
    bytes: &[u8],
    encoding: CopyEncoding,
) -> Result<Arc<ConfigurationIndex>, CodecError> {
    let configuration: Configuration = match encoding {
        CopyEncoding::Plain => decode(bytes)?,
        CopyEncoding::Compressed => decode(&decompress(bytes)?)?,
    };
    Ok(Arc::new(ConfigurationIndex::new(configuration)))
}

fn encode_copy(configuration: &Configuration, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
    let plain = encode(configuration)?;
    match encoding {
        CopyEncoding::Plain => Ok(plain.into()),
        CopyEncoding::Compressed => compress(&plain),
    }
}
