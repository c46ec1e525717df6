//! Sends the rest of a silent answer to a further engine. Owns nothing; which engine, if any, is decided in
//! `cloverpier_route`.

use crate::admission::{choose_beside, log_choice};
use crate::answers::attempt::Attempt;
use crate::answers::live::Live;
use crate::app::App;
use crate::crashes::{self, Admitted, Turn};
use cloverpier_core::UpstreamName;
use cloverpier_crashes::Admission;
use cloverpier_route::{RouteRequest, SilenceStep, SilentAnswer};
use std::sync::Arc;
use std::time::Duration;

/// Sends the rest of a silent answer to a further engine, once its content may be sent and if there is
/// one; `limit` is the stall timeout.
pub(super) async fn seek<'a>(
    app: &'a Arc<App>,
    live: &'a Arc<Live>,
    engines: Vec<UpstreamName>,
    limit: Duration,
    mut request: RouteRequest,
) -> Option<Attempt<'a>> {
    let content = live.spec.content_key();
    let Admitted { admission, turn } = crashes::admit(app, content).await;
    if admission == Admission::Blocked {
        return None;
    }
    request.isolation_key = admission.isolation_key(content);
    let silent = SilentAnswer {
        engines: &engines,
        repeatable: live.spec.repeatable,
        silent_for: limit,
        limit,
    };
    let SilenceStep::TryAlso(chosen) = choose_beside(app, &silent, &request) else {
        return None;
    };
    log_choice(app, live.key.as_str(), &live.spec.service, &chosen);
    turn.iter().for_each(Turn::on_sent);
    Some(Attempt::order_beside(app, live, &chosen, turn))
}
