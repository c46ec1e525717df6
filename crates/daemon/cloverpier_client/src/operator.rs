//! The operator's side.
//!
//! Each method is one call to one router. The result of a call without an answer is open: a
//! confirmation is settled by repeating it.

use cloverpier_config::{Intent, Plan};
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an operator's call may take; a confirmation waits 5 s for all routers.
const TIMEOUT: Duration = Duration::from_secs(15);

/// A plan as a router answered it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Planned {
    /// Its name.
    pub id: String,
    /// The plan.
    pub plan: Plan,
}

/// A router that doesn't act on a version yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Waiting {
    /// The VM.
    pub vm: String,
    /// The version that it acts on; `None` when it can't be reached.
    pub version: Option<u64>,
}

/// The answer to a confirmation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Confirmed {
    /// `accepted` or `pending`.
    pub outcome: String,
    /// The version.
    pub version: u64,
    /// Routers that don't act on it yet.
    pub waiting: Vec<Waiting>,
}

/// Why an operator's call has no result.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The router can't be reached.
    #[snafu(display("the router can't be reached: {source}"))]
    Unreachable {
        /// What the call ran into.
        source: reqwest::Error,
    },
    /// The router refused.
    #[snafu(display("refused with status {status}: {body}"))]
    Denied {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
}

/// An operator's client of one router.
#[derive(Clone, Debug)]
pub struct Operator {
    http: Client,
    base: String,
    key: String,
}

impl Operator {
    /// A client of the router whose port for peers and operators is given.
    pub fn new(router: SocketAddr, key: &str) -> Self {
        Self {
            http: Client::new(),
            base: format!("http://{router}/admin"),
            key: key.to_owned(),
        }
    }

    async fn send<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T, OperatorError> {
        let sent = req.bearer_auth(&self.key).timeout(TIMEOUT).send().await;
        let res = sent.context(UnreachableSnafu)?;
        let status = res.status();
        if !status.is_success() {
            // The status alone says that it was refused; a body that broke off is left out.
            let body = res.text().await.unwrap_or_default();
            let status = status.as_u16();
            return DeniedSnafu { status, body }.fail();
        }
        res.json().await.context(UnreachableSnafu)
    }

    /// Asks for a plan.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn plan(&self, intent: &Intent) -> Result<Planned, OperatorError> {
        let req = self.http.post(format!("{}/plans", self.base));
        self.send(req.json(intent)).await
    }

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn show(&self, id: &str) -> Result<Planned, OperatorError> {
        self.send(self.http.get(format!("{}/plans/{id}", self.base)))
            .await
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn confirm(&self, id: &str) -> Result<Confirmed, OperatorError> {
        let url = format!("{}/plans/{id}/confirm", self.base);
        self.send(self.http.post(url)).await
    }

    /// Asks which routers act on a version.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn version(&self, version: u64) -> Result<Confirmed, OperatorError> {
        let url = format!("{}/versions/{version}", self.base);
        self.send(self.http.get(url)).await
    }

    /// Reads the configuration in force at the router.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn config(&self) -> Result<Value, OperatorError> {
        self.send(self.http.get(format!("{}/config", self.base)))
            .await
    }

    /// Reads the router's state.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn status(&self) -> Result<Value, OperatorError> {
        self.send(self.http.get(format!("{}/status", self.base)))
            .await
    }

    /// Marks an upstream to take no new work.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn leave(&self, upstream: &str) -> Result<Value, OperatorError> {
        let url = format!("{}/upstreams/{upstream}/leave", self.base);
        self.send(self.http.post(url)).await
    }

    /// Begins a planned stop of the router.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn stop(&self) -> Result<(), OperatorError> {
        let req = self.http.post(format!("{}/stop", self.base));
        let sent = req.bearer_auth(&self.key).timeout(TIMEOUT).send().await;
        let res = sent.context(UnreachableSnafu)?;
        if res.status().is_success() {
            return Ok(());
        }
        let status = res.status().as_u16();
        // As above.
        let body = res.text().await.unwrap_or_default();
        DeniedSnafu { status, body }.fail()
    }
}
