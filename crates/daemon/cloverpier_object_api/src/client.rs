//! HTTP client of the platform's object store.
//!
//! Offers a read, a watch and a conditional write. The errors of a write distinguish whether it may
//! have taken effect. The users' platform has another protocol, which `cloverpier_adapter`
//! (`platform/`) implements and only reads from.

use crate::wire::{ObjectBody, StoredObject, VersionBody};
use cloverpier_body::{BodyError, read_body};
use cloverpier_core::url_encoded;
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a whole call, far above the few milliseconds in which the platform usually responds. A
/// watch may take this much longer than its requested wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum length of a response in bytes. A value has up to 1 MB, and JSON escapes can multiply its length.
const MAX_ANSWER: usize = 8 << 20;

/// The reason why a call has no complete and valid response.
#[derive(Debug, Snafu)]
pub enum AnswerError {
    /// The connection failed, or the timeout passed.
    #[snafu(display("{source}"))]
    NoAnswer {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The body is incomplete or too long.
    #[snafu(display("{source}"))]
    Body {
        /// Why not.
        source: BodyError,
    },
    /// The body is not the JSON of a response to the call.
    #[snafu(display("the answer can't be read: {source}"))]
    Invalid {
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The reason why a read or a watch failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// No complete and valid response arrived before the timeout.
    #[snafu(display("the platform is unavailable: {source}"))]
    Unavailable {
        /// Why not.
        source: AnswerError,
    },
    /// The platform responded with a status other than 200, 304 and 404.
    #[snafu(display("the platform answered {status}"))]
    UnexpectedStatus {
        /// The HTTP status.
        status: u16,
    },
    /// The object's value is not the JSON of the requested type.
    #[snafu(display("the object {key} can't be read: {source}"))]
    InvalidValue {
        /// The object's key.
        key: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// The reason why a conditional update did not take effect, or may not have.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The update did not take effect: the object's version is not the expected one.
    #[snafu(display("another update came first: version {version} stands"))]
    Conflict {
        /// The object's current version; 0 if there is no object.
        version: u64,
    },
    /// The update did not take effect: the platform refused it, no connection to the platform was
    /// established, or the value has no JSON.
    #[snafu(display("the platform did not take the update: {reason}"))]
    NotApplied {
        /// The cause, for the log.
        reason: String,
    },
    /// No complete and valid response arrived: the update may or may not have taken effect.
    #[snafu(display("the answer to the update was lost: {source}"))]
    OutcomeUnknown {
        /// Why.
        source: AnswerError,
    },
}

/// An object as it was read.
#[derive(Clone, Debug)]
pub struct VersionedObject<T> {
    /// The object's version, from 1; to pass to [`PlatformClient::write`] or [`PlatformClient::watch`].
    pub version: u64,
    /// The object's value, parsed.
    pub value: T,
}

/// A client of the platform's object store; clones share the connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    base: String,
}

impl PlatformClient {
    /// Creates a client of the platform at an address; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: Client::new(),
            base: format!("http://{address}"),
        }
    }

    /// The URL of an object. Slashes divide a key into the segments of a path.
    fn object_url(&self, key: &str) -> String {
        let mut url = format!("{}/objects", self.base);
        for segment in key.split('/') {
            url.push('/');
            url.extend(url_encoded(segment));
        }
        url
    }

    /// Reads an object; `None` if there is no object under the key.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the platform is unavailable or the value is not of type `T`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<VersionedObject<T>>, ReadError> {
        let req = self.http.get(self.object_url(key)).timeout(CALL_TIMEOUT);
        let res = req.send().await.context(NoAnswerSnafu);
        let res = res.context(UnavailableSnafu)?;
        read_object(key, res).await
    }

    /// Waits until an object's version is higher than `after`, for `wait` at most, and returns the
    /// object.
    ///
    /// Returns `None` if there was no higher version within that time. The platform counts a watch
    /// as one call.
    ///
    /// # Errors
    ///
    /// The errors of [`PlatformClient::read`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<VersionedObject<T>>, ReadError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?after={after}&wait_ms={wait_ms}", self.object_url(key));
        let req = self.http.get(url).timeout(wait + CALL_TIMEOUT);
        let res = req.send().await.context(NoAnswerSnafu);
        let res = res.context(UnavailableSnafu)?;
        read_object(key, res).await
    }

    /// Replaces an object's value if the object's version is `if_version`, and returns the new version.
    ///
    /// With `if_version` 0, creates the object if there is none.
    ///
    /// # Errors
    ///
    /// [`WriteError::OutcomeUnknown`] if the update may have taken effect; after any other error it did
    /// not.
    pub async fn write<T: Serialize>(
        &self,
        key: &str,
        if_version: u64,
        value: &T,
    ) -> Result<u64, WriteError> {
        let value = serde_json::to_value(value).map_err(|e| WriteError::NotApplied {
            reason: e.to_string(),
        })?;
        let body = ObjectBody { if_version, value };
        let req = self
            .http
            .put(self.object_url(key))
            .timeout(CALL_TIMEOUT)
            .json(&body);
        let res = req.send().await.map_err(classify_send_error)?;
        let status = res.status();
        match status {
            StatusCode::OK => {
                let body: VersionBody = read_json(res).await.context(OutcomeUnknownSnafu)?;
                Ok(body.version)
            }
            StatusCode::CONFLICT => {
                let body: VersionBody = read_json(res).await.context(OutcomeUnknownSnafu)?;
                ConflictSnafu {
                    version: body.version,
                }
                .fail()
            }
            _ => NotAppliedSnafu {
                reason: format!("status {status}"),
            }
            .fail(),
        }
    }
}

async fn read_object<T: DeserializeOwned>(
    key: &str,
    res: Response,
) -> Result<Option<VersionedObject<T>>, ReadError> {
    match res.status() {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(None),
        status => {
            return UnexpectedStatusSnafu {
                status: status.as_u16(),
            }
            .fail();
        }
    }
    let stored: StoredObject = read_json(res).await.context(UnavailableSnafu)?;
    let value = serde_json::from_value(stored.value).context(InvalidValueSnafu { key })?;
    Ok(Some(VersionedObject {
        version: stored.version,
        value,
    }))
}

/// Reads the body of an answer.
async fn read_json<T: DeserializeOwned>(res: Response) -> Result<T, AnswerError> {
    let body = read_body(res, MAX_ANSWER).await.context(BodySnafu)?;
    serde_json::from_slice(&body).context(InvalidSnafu)
}

/// A write that failed before a connection was established did not take effect; the outcome of any
/// other failed write is unknown.
fn classify_send_error(source: reqwest::Error) -> WriteError {
    if source.is_connect() {
        return WriteError::NotApplied {
            reason: source.to_string(),
        };
    }
    let source = AnswerError::NoAnswer { source };
    WriteError::OutcomeUnknown { source }
}
