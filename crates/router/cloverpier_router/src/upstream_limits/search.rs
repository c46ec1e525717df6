//! The choice of an upstream for a request, repeated until the chosen upstream has no limit or there is a permit.
//!
//! `cloverpier_router_policy::permit` decides which limited upstreams are tried, and for how long a request waits.
//! Owns no state of its own.

use super::{Permission, UpstreamLimits};
use cloverpier_router_policy::permit::{LimitedUpstreams, PermitSearch};
use cloverpier_router_policy::prelude::{NoUpstream, Upstream, UpstreamKey};

impl UpstreamLimits {
    /// Chooses an upstream for a request, with a permit if the upstream is rate-limited. `choose` returns an upstream
    /// that its argument does not exclude; `is_permit_usable` returns whether an upstream can still be used after the request
    /// has waited for a permit.
    ///
    /// # Errors
    ///
    /// The reason why there is no upstream for the request; [`NoUpstream::AllRateLimited`] if permits were refused and
    /// no other upstream is usable.
    pub async fn choose_with_permit<T: AsRef<Upstream>>(
        &self,
        mut search: PermitSearch,
        choose: impl Fn(&LimitedUpstreams) -> Result<T, NoUpstream>,
        is_permit_usable: impl Fn(&Upstream) -> bool,
    ) -> Result<T, NoUpstream> {
        loop {
            let limits = self.limited_upstreams(&search);
            let chosen = match choose(&limits) {
                Ok(chosen) => chosen,
                Err(_) if limits.excludes_any() && search.begin_waiting() => continue,
                Err(reason) => return Err(reason_with_limits(reason, &search)),
            };
            let upstream = chosen.as_ref();
            let max_wait = search.max_wait();
            let key = UpstreamKey::of(&upstream.name);
            // An upstream without a limit is sent to without a wait, as before any search for permits; refusals do not
            // exclude it.
            let may_wait = limits.is_limited(key) && !max_wait.is_zero();
            match self.acquire(upstream, max_wait).await {
                Permission::Granted if !may_wait || is_permit_usable(upstream) => {
                    return Ok(chosen);
                }
                // The upstream became unusable while the request waited.
                Permission::Granted => search.on_refused(key, max_wait),
                Permission::Refused { retry_after } => search.on_refused(key, retry_after),
            }
        }
    }
}

/// Replaces [`NoUpstream::NoneUsable`] by [`NoUpstream::AllRateLimited`] if permits were refused in the search, which
/// excludes their upstreams. Returns any other reason unchanged.
fn reason_with_limits(reason: NoUpstream, search: &PermitSearch) -> NoUpstream {
    match (reason, search.retry_after()) {
        (NoUpstream::NoneUsable | NoUpstream::NoneOfVersion { .. }, Some(retry)) => {
            NoUpstream::AllRateLimited { retry }
        }
        _ => reason,
    }
}
