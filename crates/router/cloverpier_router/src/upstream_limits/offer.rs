//! Offers one request to upstreams until one takes it that is not limited, or for which there is a permit.

use super::{Permission, UpstreamLimits};
use cloverpier_router_policy::permit::{LimitedUpstreams, PermitSearch};
use cloverpier_router_policy::prelude::{NoUpstream, Upstream, UpstreamKey};

impl UpstreamLimits {
    /// Finds an upstream for a request. `choose` picks one among those that are not withheld; `is_usable`
    /// says whether one that was waited for still is.
    ///
    /// # Errors
    ///
    /// Why no upstream takes it.
    pub async fn offer<T: AsRef<Upstream>>(
        &self,
        mut search: PermitSearch,
        choose: impl Fn(&LimitedUpstreams) -> Result<T, NoUpstream>,
        is_usable: impl Fn(&Upstream) -> bool,
    ) -> Result<T, NoUpstream> {
        loop {
            let limits = self.seen_by(&search);
            let chosen = match choose(&limits) {
                Ok(chosen) => chosen,
                Err(_) if limits.excludes_any() && search.begin_waiting() => continue,
                Err(reason) => return Err(with_limits(reason, &search)),
            };
            let upstream = chosen.as_ref();
            let max_wait = search.max_wait();
            let key = UpstreamKey::of(&upstream.name);
            match self.acquire(upstream, max_wait).await {
                Permission::Given if max_wait.is_zero() || is_usable(upstream) => {
                    return Ok(chosen);
                }
                // It was lost while the request waited.
                Permission::Given => search.on_refused(key, max_wait),
                Permission::Refused { retry } => search.on_refused(key, retry),
            }
        }
    }
}

/// Why nobody takes a request, where limits may be the reason.
fn with_limits(reason: NoUpstream, search: &PermitSearch) -> NoUpstream {
    match (reason, search.retry_after()) {
        (NoUpstream::NoneUsable, Some(retry)) => NoUpstream::AllRateLimited { retry },
        _ => reason,
    }
}
