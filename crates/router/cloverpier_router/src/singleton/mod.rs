//! Work that one router at a time does for all: usage reports, and orders of engines.
//!
//! Where the settings name such work, every router counts the requests that began to run and reports
//! that with its load and its clock ([`reports`]); the routers that watch the store are ready to take the
//! lease ([`keeper`]), and its holder does the work ([`work`]). Everything is decided in
//! `cloverpier_router_policy::singleton`; the calls are a platform's ([`platform`]).
//!
//! [`state::Singleton`] owns what this router knows of the lease, of the other routers' counts, and of the
//! work while it is the holder. Without such settings there is none, and nothing of it runs.

mod keeper;
mod platform;
mod reports;
pub(crate) mod state;
mod work;

pub use platform::{
    LeaseRecord, RecordWritten, ServiceScaling, SignedBy, SingletonPlatform, StoredRecord,
};
pub(crate) use reports::{on_lease_update, on_report};

use crate::metrics::Metrics;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::AccountName;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::spawn_local;

/// Starts the tasks, where the settings name such work.
pub(crate) fn start(router: &Rc<Router>, platform: impl SingletonPlatform + 'static) {
    if router.singleton.is_none() {
        return;
    }
    let platform = Rc::new(platform);
    spawn_local(keeper::keep_lease(Rc::clone(router), Rc::clone(&platform)));
    spawn_local(work::do_work(Rc::clone(router), platform));
    spawn_local(reports::send_reports(Rc::clone(router)));
}

/// Counts a request that an upstream began to run at a moment.
pub(crate) fn on_begun(router: &Router, request: &RelayRequest, at: Instant) {
    let Some(singleton) = router.singleton.as_ref().filter(|s| s.settings.meters) else {
        return;
    };
    // Requests of public routes are on nobody's account.
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
