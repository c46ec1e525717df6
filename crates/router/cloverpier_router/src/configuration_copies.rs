//! The configuration in force, and the bytes in which peers get it.
//!
//! Owns both. The bytes are written once for each version, however many peers ask, or are
//! those that a peer sent; they are written beside the thread that serves
//! ([`crate::background`]). A peer of a release that does not ask for compressed bytes gets
//! plain ones.

use crate::background::run_in_background;
use crate::peer_messages::{CodecError, compress, decode, decompress, encode};
use bytes::Bytes;
use cloverpier_router_policy::prelude::*;
use std::sync::Arc;
use tokio::sync::OnceCell;

/// Bytes that a route takes in a plain copy, about: more where its names are longer.
const ESTIMATED_ROUTE_BYTES: usize = 100;

/// How the bytes are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CopyEncoding {
    /// As the codec writes them.
    Plain,
    /// Compressed with `gzip`.
    Compressed,
}

/// A configuration, indexed, with the bytes of its copies.
#[derive(Debug)]
pub(crate) struct ConfigurationWithCopies {
    index: Arc<ConfigurationIndex>,
    plain: OnceCell<Bytes>,
    compressed: OnceCell<Bytes>,
}

impl ConfigurationWithCopies {
    /// Indexes a configuration that was read elsewhere.
    pub async fn from_configuration(configuration: Configuration) -> Self {
        let size = estimated_bytes(&configuration);
        let index = move || Arc::new(ConfigurationIndex::new(configuration));
        Self {
            index: run_in_background(size, index).await,
            plain: OnceCell::new(),
            compressed: OnceCell::new(),
        }
    }

    /// Reads a copy, and keeps its bytes for other peers.
    ///
    /// # Errors
    ///
    /// [`CodecError`] for bytes that are no copy.
    pub async fn read(bytes: Bytes, encoding: CopyEncoding) -> Result<Self, CodecError> {
        let copy = bytes.clone();
        let index = run_in_background(bytes.len(), move || read_index(&copy, encoding));
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

    /// The configuration, for requests.
    pub fn index(&self) -> &Arc<ConfigurationIndex> {
        &self.index
    }

    /// The bytes for a peer; written by the first call.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if they cannot be written.
    pub async fn copy(&self, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
        let cell = match encoding {
            CopyEncoding::Plain => &self.plain,
            CopyEncoding::Compressed => &self.compressed,
        };
        let write = || {
            let index = Arc::clone(&self.index);
            let size = estimated_bytes(index.unindexed());
            run_in_background(size, move || write_copy(index.unindexed(), encoding))
        };
        cell.get_or_try_init(write).await.cloned()
    }
}

/// Bytes of a plain copy, about; what is not a route is small.
fn estimated_bytes(configuration: &Configuration) -> usize {
    configuration.routes.len() * ESTIMATED_ROUTE_BYTES
}

fn read_index(bytes: &[u8], encoding: CopyEncoding) -> Result<Arc<ConfigurationIndex>, CodecError> {
    let configuration: Configuration = match encoding {
        CopyEncoding::Plain => decode(bytes)?,
        CopyEncoding::Compressed => decode(&decompress(bytes)?)?,
    };
    Ok(Arc::new(ConfigurationIndex::new(configuration)))
}

fn write_copy(configuration: &Configuration, encoding: CopyEncoding) -> Result<Bytes, CodecError> {
    let plain = encode(configuration)?;
    match encoding {
        CopyEncoding::Plain => Ok(plain.into()),
        CopyEncoding::Compressed => compress(&plain),
    }
}
