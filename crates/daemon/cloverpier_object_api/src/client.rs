//! Calls to the platform.
//!
//! A read, a watch and a conditional write, each with the few outcomes that matter; a write
//! without an answer is one of its own. The users' platform has another protocol, which
//! `cloverpier_adapter` (`platform/`) meets, by reads alone.

use crate::wire::{ObjectBody, StoredObject, VersionBody};
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call may take; the platform answers in milliseconds (the brief).
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a read gave nothing.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform can't be reached, is down or too slow.
    #[snafu(display("the platform is unavailable: {source}"))]
    Unavailable {
        /// What the call ran into.
        source: reqwest::Error,
    },
    /// The platform answered with an unexpected status.
    #[snafu(display("the platform answered {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The object isn't of the expected shape.
    #[snafu(display("the object {key} can't be read: {source}"))]
    Shape {
        /// The object's key.
        key: String,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Why a conditional update isn't known to have taken effect.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// Another update came first; this one did not take effect.
    #[snafu(display("another update came first: version {version} stands"))]
    Conflict {
        /// The version that stands.
        version: u64,
    },
    /// The update did not take effect: the platform refused it or was never reached.
    #[snafu(display("the platform did not take the update: {reason}"))]
    NotDone {
        /// Why.
        reason: String,
    },
    /// No answer came: the update may or may not have taken effect.
    #[snafu(display("the answer to the update was lost: {source}"))]
    Unknown {
        /// What the call ran into.
        source: reqwest::Error,
    },
}

/// An object that was read.
#[derive(Clone, Debug)]
pub struct Found<T> {
    /// The object's version.
    pub version: u64,
    /// Its value.
    pub value: T,
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    http: Client,
    base: String,
}

impl Platform {
    /// A client of the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: Client::new(),
            base: format!("http://{address}"),
        }
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// [`ReadError`] when the platform is unavailable or the object has another shape.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Found<T>>, ReadError> {
        let url = format!("{}/objects/{key}", self.base);
        let req = self.http.get(url).timeout(CALL_TIMEOUT);
        let res = req.send().await.context(UnavailableSnafu)?;
        found(key, res).await
    }

    /// Waits until an object's version is above a given one.
    ///
    /// `None` when the wait ended without a change. The wait counts as one call.
    ///
    /// # Errors
    ///
    /// As [`Platform::read`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Found<T>>, ReadError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/objects/{key}?after={after}&wait_ms={wait_ms}",
            self.base
        );
        let req = self.http.get(url).timeout(wait + CALL_TIMEOUT);
        let res = req.send().await.context(UnavailableSnafu)?;
        found(key, res).await
    }

    /// Updates an object if its version is the given one; 0 creates it.
    ///
    /// # Errors
    ///
    /// [`WriteError`] says whether the update certainly did not take effect.
    pub async fn write<T: Serialize>(
        &self,
        key: &str,
        if_version: u64,
        value: &T,
    ) -> Result<u64, WriteError> {
        let value = serde_json::to_value(value).map_err(|e| WriteError::NotDone {
            reason: e.to_string(),
        })?;
        let body = ObjectBody { if_version, value };
        let url = format!("{}/objects/{key}", self.base);
        let req = self.http.put(url).timeout(CALL_TIMEOUT).json(&body);
        let res = req.send().await.map_err(lost)?;
        let status = res.status();
        match status {
            StatusCode::OK => {
                let body: VersionBody = res.json().await.context(UnknownSnafu)?;
                Ok(body.version)
            }
            StatusCode::CONFLICT => {
                let body: VersionBody = res.json().await.context(UnknownSnafu)?;
                ConflictSnafu {
                    version: body.version,
                }
                .fail()
            }
            _ => NotDoneSnafu {
                reason: format!("status {status}"),
            }
            .fail(),
        }
    }
}

async fn found<T: DeserializeOwned>(
    key: &str,
    res: Response,
) -> Result<Option<Found<T>>, ReadError> {
    match res.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(None),
        status => {
            return StatusSnafu {
                status: status.as_u16(),
            }
            .fail();
        }
    }
    let stored: StoredObject = res.json().await.context(UnavailableSnafu)?;
    let value = serde_json::from_value(stored.value).context(ShapeSnafu { key })?;
    Ok(Some(Found {
        version: stored.version,
        value,
    }))
}

/// A call that never connected did not take effect; of any other, nobody knows.
fn lost(source: reqwest::Error) -> WriteError {
    if source.is_connect() {
        return WriteError::NotDone {
            reason: source.to_string(),
        };
    }
    WriteError::Unknown { source }
}
