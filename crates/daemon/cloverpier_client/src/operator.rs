//! An operator's client of a router.
//!
//! Each method makes one HTTP call to one router, without retries. If a call has no response, its
//! outcome is unknown; a confirmation can be repeated to find out. Owns only the HTTP client.

use cloverpier_config::{Intent, Plan};
use cloverpier_core::url_encoded;
use reqwest::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a whole call; longer than a confirmation, in which the router waits up to 5 s for all
/// routers.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A stored plan, as a router returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReport {
    /// The id to confirm the plan by.
    pub id: String,
    /// The changes, their base version and the intent.
    pub plan: Plan,
}

/// A router that doesn't act on the requested version of the configuration yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterVersion {
    /// Name of the router's VM.
    pub vm: String,
    /// The version in force at the router; `None` if the router can't be reached.
    pub version: Option<u64>,
}

/// The response to a confirmation, or to the query whether a version is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfirmReport {
    /// `accepted` if all routers act on the version or a later one, else `pending`.
    pub outcome: String,
    /// The version of the configuration.
    pub version: u64,
    /// The routers that don't act on the version yet.
    pub waiting: Vec<RouterVersion>,
}

/// The reason why an operator's call has no result.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No complete and valid response arrived from the router; the outcome of the call is unknown.
    #[snafu(display("the router can't be reached: {source}"))]
    Unreachable {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The router refused the call.
    #[snafu(display("refused with status {status}: {body}"))]
    Refused {
        /// The HTTP status, outside 200 to 299.
        status: u16,
        /// The response body, which has the reason as JSON.
        body: String,
    },
}

/// A client of one router, authorized by the operators' key.
#[derive(Clone, Debug)]
pub struct Operator {
    http: Client,
    base: String,
    key: String,
}

impl Operator {
    /// Creates a client; `router` is the router's address for peers and operators.
    pub fn new(router: SocketAddr, key: &str) -> Self {
        Self {
            http: Client::new(),
            base: format!("http://{router}/admin"),
            key: key.to_owned(),
        }
    }

    async fn send<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<T, OperatorError> {
        let sent = req
            .bearer_auth(&self.key)
            .timeout(CALL_TIMEOUT)
            .send()
            .await;
        let res = sent.context(UnreachableSnafu)?;
        let status = res.status();
        if !status.is_success() {
            // The status alone shows the refusal; an incomplete body is left out.
            let body = res.text().await.unwrap_or_default();
            let status = status.as_u16();
            return RefusedSnafu { status, body }.fail();
        }
        res.json().await.context(UnreachableSnafu)
    }

    /// Makes and stores a plan for an intent, without changing the configuration.
    ///
    /// # Errors
    ///
    /// [`OperatorError::Refused`] if the intent is invalid; [`OperatorError::Unreachable`].
    pub async fn plan(&self, intent: &Intent) -> Result<PlanReport, OperatorError> {
        let req = self.http.post(format!("{}/plans", self.base));
        self.send(req.json(intent)).await
    }

    /// Reads a stored plan.
    ///
    /// # Errors
    ///
    /// [`OperatorError::Refused`] if there is no plan of this id; [`OperatorError::Unreachable`].
    pub async fn show(&self, id: &str) -> Result<PlanReport, OperatorError> {
        let url = format!("{}/plans/{}", self.base, url_encoded(id));
        self.send(self.http.get(url)).await
    }

    /// Applies a plan, and waits up to 5 s until all routers act on the resulting version.
    ///
    /// Confirming a plan again changes nothing.
    ///
    /// # Errors
    ///
    /// [`OperatorError::Refused`] if another operator changed an item of the plan, the result is
    /// invalid, or it is unknown whether the plan took effect; [`OperatorError::Unreachable`].
    pub async fn confirm(&self, id: &str) -> Result<ConfirmReport, OperatorError> {
        let url = format!("{}/plans/{}/confirm", self.base, url_encoded(id));
        self.send(self.http.post(url)).await
    }

    /// Queries whether all routers act on a version of the configuration.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn version(&self, version: u64) -> Result<ConfirmReport, OperatorError> {
        let url = format!("{}/versions/{version}", self.base);
        self.send(self.http.get(url)).await
    }

    /// Reads the configuration in force at this router.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn config(&self) -> Result<Value, OperatorError> {
        self.send(self.http.get(format!("{}/config", self.base)))
            .await
    }

    /// Reads the router's state: its versions, members, upstreams and counts.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn status(&self) -> Result<Value, OperatorError> {
        self.send(self.http.get(format!("{}/status", self.base)))
            .await
    }

    /// Marks an upstream as leaving, so that no router sends it new requests.
    ///
    /// The field `not_told` of the result lists the routers that could not be reached; their peers
    /// send them the mark later.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn leave(&self, upstream: &str) -> Result<Value, OperatorError> {
        let url = format!("{}/upstreams/{}/leave", self.base, url_encoded(upstream));
        self.send(self.http.post(url)).await
    }

    /// Starts a planned shutdown of the router, and returns without waiting for its end.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub async fn stop(&self) -> Result<(), OperatorError> {
        let req = self.http.post(format!("{}/stop", self.base));
        let sent = req
            .bearer_auth(&self.key)
            .timeout(CALL_TIMEOUT)
            .send()
            .await;
        let res = sent.context(UnreachableSnafu)?;
        if res.status().is_success() {
            return Ok(());
        }
        let status = res.status().as_u16();
        // As in `send`, an incomplete body is left out.
        let body = res.text().await.unwrap_or_default();
        RefusedSnafu { status, body }.fail()
    }
}
