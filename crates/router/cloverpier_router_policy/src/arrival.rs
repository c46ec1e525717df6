//! Admit or reject a request at arrival.
//!
//! - **Question.** Is this request relayed at all, and on whose account?
//! - **Inputs.** The configuration in force, if any; host and path; the caller's key.
//! - **Answer.** The route and the client account, or a [`Rejection`].
//! - **Why.** What the configuration does not allow is turned down before a byte of it
//!   reaches an upstream, so a rejection always means "not run".
//!
//! Owns the list of rejections. The carrying-out crate maps them to HTTP statuses and
//! reads bodies; the bound on a body's length is the configuration's.

use crate::configuration::{ClientAccount, ConfigurationIndex, Route, ServiceConfig};
use std::fmt;
use std::sync::Arc;

/// Lowest rank that upstreams know; 0 is the highest.  The bound of the platform's protocol.
const LOWEST_PRIORITY: u8 = 9;
/// Rank of a stream that resumes after a loss, before everything that is new: its caller has waited
/// already.
pub const RESUMED_PRIORITY: u8 = 0;

/// Why a request is turned down before it is sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Configuration or upstreams are not known yet.
    Starting,
    /// No route matches host and path.
    NoRoute,
    /// The route needs a key and the caller's is not known.
    UnknownKey,
    /// The route names a service that the configuration lacks.
    UnknownService,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body ended before its announced length.
    BodyBroke,
    /// This router holds as much of other bodies and answers as its VM's memory allows.
    TooMuchHeld,
}

/// The texts reach callers in error bodies and on-call engineers in logs, so they stay.
impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "no configuration is known yet",
            Self::NoRoute => "no route matches host and path",
            Self::UnknownKey => "the key is unknown",
            Self::UnknownService => "the route's service is unknown",
            Self::BodyTooLong => "the body is too long",
            Self::BodyBroke => "the body broke off",
            Self::TooMuchHeld => "other requests take this router's memory",
        })
    }
}

/// Finds the route of a request; `host` is without a port, in any case.
///
/// # Errors
///
/// [`Rejection::NoRoute`].
pub fn find_route(
    configuration: &ConfigurationIndex,
    host: &str,
    path: &str,
) -> Result<Arc<Route>, Rejection> {
    let route = configuration.route(&host.to_ascii_lowercase(), path);
    route.cloned().ok_or(Rejection::NoRoute)
}

/// Finds the client account that a request runs under; `None` on public routes and where
/// requests carry no keys.
///
/// # Errors
///
/// [`Rejection::UnknownKey`].
pub fn find_account(
    configuration: &ConfigurationIndex,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<ClientAccount>>, Rejection> {
    if !configuration.requires_keys() {
        return Ok(None);
    }
    let account = key.and_then(|key| configuration.account_for_key(key));
    if account.is_none() && !route.public {
        return Err(Rejection::UnknownKey);
    }
    Ok(account.cloned())
}

/// Picks the service that gets a request of a route, by the route's weights.
///
/// # Errors
///
/// [`Rejection::UnknownService`].
pub fn pick_service(
    configuration: &ConfigurationIndex,
    route: &Route,
    rng: &mut fastrand::Rng,
) -> Result<Arc<ServiceConfig>, Rejection> {
    let name = route.pick_target(rng);
    let service = name.and_then(|name| configuration.service(name));
    service.cloned().ok_or(Rejection::UnknownService)
}

/// The rank of a request at upstreams, 0 the highest: the client account's, else the route's.
pub fn priority(route: &Route, account: Option<&ClientAccount>) -> u8 {
    let own = account.and_then(|account| account.priority);
    // An account without a rank of its own has that of the route.
    own.unwrap_or(route.priority).min(LOWEST_PRIORITY)
}
