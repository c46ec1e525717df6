//! Singleton work: usage reports to the platform and orders of engines, which one router at a time does for all.
//!
//! If the settings configure singleton work, every router counts the requests that start to run, and reports these
//! counts, its load and its clock ([`reports`]). Routers that watch the store may take the lease ([`keeper`]), and the
//! holder of the lease does the work ([`work`]). `cloverpier_router_policy::singleton` makes all decisions; the
//! adapter of a platform implements the calls ([`platform`]).
//!
//! [`state::Singleton`] owns the state of the lease, the reports of all routers, and the state of the work at the
//! holder. If the settings configure no singleton work, there is no such state, and none of the tasks runs.

mod keeper;
mod platform;
mod reports;
pub(crate) mod state;
mod work;

pub use platform::{
    HolderCall, LeaseRecord, RecordWriteResult, ServiceScaling, SingletonPlatform, StoredRecord,
};
pub(crate) use reports::{on_lease_update, on_report};

use crate::metrics::Metrics;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::AccountName;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::spawn_local;

/// Starts the tasks of the singleton work, if the settings configure any.
pub(crate) fn start(router: &Rc<Router>, platform: impl SingletonPlatform + 'static) {
    if router.singleton.is_none() {
        return;
    }
    let platform = Rc::new(platform);
    spawn_local(keeper::keep_lease(Rc::clone(router), Rc::clone(&platform)));
    spawn_local(work::do_work(Rc::clone(router), platform));
    spawn_local(reports::send_reports(Rc::clone(router)));
}

/// Counts a request that an upstream started to run at `at`, if the settings configure usage reports.
pub(crate) fn on_request_started(router: &Router, request: &RelayRequest, at: Instant) {
    let Some(singleton) = router.singleton.as_ref().filter(|s| s.settings.meters) else {
        return;
    };
    // Requests of public routes have no client account and are not reported.
    let Some(account) = &request.account else {
        return;
    };
    let window = singleton.windows().window_at(singleton.fleet_ms(at));
    let account = AccountName::new(&account.name);
    singleton
        .own_usage
        .borrow_mut()
        .on_request_started(&account, window);
}

fn count(metrics: &Metrics, kind: &'static str) {
    metrics.singleton.count(kind);
}
