//! Admits or rejects a request on arrival.
//!
//! - **Question.** Is this request forwarded, and under which client account?
//! - **Inputs.** The configuration in force, if any; the request's host and path; the caller's key.
//! - **Result.** The route, the service and the client account, or a [`Rejection`].
//! - **Why.** A request that the configuration does not allow is rejected before any of its bytes reach an
//!   upstream, so a rejection always means that the request has not run.
//!
//! Owns the list of rejections. `cloverpier_router` maps them to HTTP statuses and reads the bodies; the
//! configuration limits the length of a body.

use crate::configuration::{ClientAccount, ConfigurationIndex, Route, ServiceConfig};
use std::fmt;
use std::sync::Arc;

/// The lowest request priority of the platform's protocol; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// Priority of a stream that resumes after its upstream was lost. It is the highest one, so that the stream goes
/// before all new requests, as its caller has already waited.
pub const RESUMED_PRIORITY: u8 = 0;

/// The reason why a request is rejected before it is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This router has not received a configuration or the list of upstreams yet.
    Starting,
    /// No route of the configuration matches the request's host and path.
    NoRoute,
    /// The route requires a key, and the caller sent no key or a key that belongs to no client account.
    UnknownKey,
    /// The route names a service that the configuration does not contain.
    UnknownService,
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body could not be read to its end, for example because the caller's connection broke.
    BodyIncomplete,
    /// The buffered bodies of other requests take the memory that a router may use for them
    /// ([`crate::buffer_memory`]).
    BufferMemoryFull,
}

/// Callers receive these messages in error bodies and on-call engineers search logs for them, so the wording
/// is part of the interface.
impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "no configuration is known yet",
            Self::NoRoute => "no route matches host and path",
            Self::UnknownKey => "the key is unknown",
            Self::UnknownService => "the route's service is unknown",
            Self::BodyTooLong => "the body is too long",
            Self::BodyIncomplete => "the body broke off",
            Self::BufferMemoryFull => "other requests take this router's memory",
        })
    }
}

/// Finds the route of a request by its host and path. `host` has no port; upper and lower case are equal.
///
/// # Errors
///
/// [`Rejection::NoRoute`] if no route matches.
pub fn find_route(
    configuration: &ConfigurationIndex,
    host: &str,
    path: &str,
) -> Result<Arc<Route>, Rejection> {
    let route = configuration.route(&host.to_ascii_lowercase(), path);
    route.cloned().ok_or(Rejection::NoRoute)
}

/// Finds the client account of a request by the caller's key. The result is `None` if the configuration has no
/// client accounts, or if the route is public and the key is missing or unknown.
///
/// # Errors
///
/// [`Rejection::UnknownKey`] if the route is not public and the key is missing or unknown.
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

/// Picks the service that gets a request, at random by the weights of the route's targets.
///
/// # Errors
///
/// [`Rejection::UnknownService`] if the configuration does not contain the picked service, or if the route has
/// no target.
pub fn pick_service(
    configuration: &ConfigurationIndex,
    route: &Route,
    rng: &mut fastrand::Rng,
) -> Result<Arc<ServiceConfig>, Rejection> {
    let name = route.pick_target(rng);
    let service = name.and_then(|name| configuration.service(name));
    service.cloned().ok_or(Rejection::UnknownService)
}

/// The priority of a request at upstreams, from 0, the highest, to 9: the client account's if it has one, else
/// the route's.
pub fn priority(route: &Route, account: Option<&ClientAccount>) -> u8 {
    let own = account.and_then(|account| account.priority);
    // The route's priority also applies to requests without an account.
    own.unwrap_or(route.priority).min(LOWEST_PRIORITY)
}
