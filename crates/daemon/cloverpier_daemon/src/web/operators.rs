//! What operators ask for: plans, confirmations, leaving upstreams, stops, status.
//!
//! Checks the operators' key and hands over to [`crate::config`], [`crate::stop`] or the state
//! machines. Owns the shape of the status.

use crate::app::App;
use crate::config;
use crate::error::ApiError;
use crate::stop;
use crate::web::app_of;
use cloverpier_config::{Intent, PlanId};
use cloverpier_core::{UpstreamName, lock, same_secret};
use cloverpier_member::MemberList;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;

/// The largest intent, in bytes; what makes too large a plan is refused by the plan's size.
const MAX_INTENT: usize = 8 << 20;

#[derive(Serialize)]
struct Status {
    vm: cloverpier_core::VmName,
    data_centre: cloverpier_core::DataCentre,
    epoch: u64,
    version: u64,
    ready: bool,
    stopping: bool,
    members: Vec<MemberStatus>,
    upstreams: Vec<UpstreamStatus>,
    answers: usize,
    copies: usize,
    copied_tokens: usize,
    records: usize,
    slots_not_ready: usize,
    peer_calls: u64,
    peer_bytes_sent: u64,
    peer_bytes_received: u64,
}

#[derive(Serialize)]
struct MemberStatus {
    vm: cloverpier_core::VmName,
    data_centre: cloverpier_core::DataCentre,
    callers_at: std::net::SocketAddr,
    peers_at: std::net::SocketAddr,
    stopping: bool,
    suspected: bool,
}

#[derive(Serialize)]
struct UpstreamStatus {
    upstream: UpstreamName,
    takes_work: bool,
    load: u32,
    own: u32,
}

#[derive(Serialize)]
struct Left {
    upstream: UpstreamName,
    not_told: Vec<config::RouterVersion>,
}

/// The operators' routes.
pub fn router() -> Router {
    Router::with_path("admin")
        .hoop(check_operator)
        .push(Router::with_path("plans").post(make_plan))
        .push(Router::with_path("plans/{id}").get(read_plan))
        .push(Router::with_path("plans/{id}/confirm").post(confirm))
        .push(Router::with_path("versions/{version}").get(in_force))
        .push(Router::with_path("config").get(read_config))
        .push(Router::with_path("status").get(status))
        .push(Router::with_path("upstreams/{upstream}/leave").post(leave))
        .push(Router::with_path("stop").post(begin_stop))
}

#[handler]
async fn check_operator(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    // No header is no key, which is never the right one.
    let header = req.header::<String>("Authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").unwrap_or_default();
    let app = app_of(depot);
    if same_secret(key, app.settings.operator_key.reveal()) {
        ctrl.call_next(req, depot, res).await;
        return;
    }
    let message = "expected \"Bearer\" and the operators' key";
    let error = ApiError::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message);
    error.at("Authorization").render(res);
    ctrl.skip_rest();
}

fn render<T: Serialize + Send>(res: &mut Response, result: Result<T, ApiError>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(error) => error.render(res),
    }
}

fn plan_id(req: &Request) -> PlanId {
    // The route has the parameter, so it is always there.
    PlanId::new(req.param::<String>("id").unwrap_or_default())
}

async fn read_intent(req: &mut Request) -> Result<Intent, ApiError> {
    let body = req.payload_with_max_size(MAX_INTENT).await;
    let body = body.map_err(|_| ApiError::field("body", "expected at most 8 MB"))?;
    serde_json::from_slice(body).map_err(|e| ApiError::field("body", format!("an intent: {e}")))
}

#[handler]
async fn make_plan(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    let result = match read_intent(req).await {
        Ok(intent) => config::make_plan(&app, &intent).await,
        Err(error) => Err(error),
    };
    render(res, result);
}

#[handler]
async fn read_plan(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    let id = plan_id(req);
    render(res, config::read_plan(&app, &id).await);
}

#[handler]
async fn confirm(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    let id = plan_id(req);
    render(res, config::confirm(&app, &id).await);
}

#[handler]
async fn in_force(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    match req.param::<u64>("version") {
        Some(version) => res.render(Json(config::in_force(&app, version).await)),
        None => ApiError::field("version", "expected a whole number").render(res),
    }
}

#[handler]
async fn read_config(depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    res.render(Json((*app.config()).clone()));
}

#[handler]
async fn leave(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    // The route has the parameter, so it is always there.
    let upstream = UpstreamName::new(req.param::<String>("upstream").unwrap_or_default());
    let result = config::leave_upstream(&app, &upstream).await;
    render(res, result.map(|not_told| Left { upstream, not_told }));
}

#[handler]
async fn begin_stop(depot: &mut Depot, res: &mut Response) {
    stop::begin(&app_of(depot));
    res.status_code(StatusCode::ACCEPTED);
}

#[handler]
async fn status(depot: &mut Depot, res: &mut Response) {
    res.render(Json(status_of(&app_of(depot))));
}

fn status_of(app: &App) -> Status {
    let list = app.members();
    let (copies, copied_tokens) = {
        let copies = lock(&app.answers.copies);
        (copies.len(), copies.tokens())
    };
    let (records, slots_not_ready) = {
        let records = lock(&app.records);
        (records.len(), records.slots_not_ready())
    };
    let traffic = app.peers.traffic();
    Status {
        vm: app.me.vm.clone(),
        data_centre: app.me.data_centre.clone(),
        epoch: list.epoch,
        version: lock(&app.applied).version(),
        ready: app.has_learned(),
        stopping: app.is_stopping(),
        members: members_status(app, &list),
        upstreams: upstreams_status(app),
        answers: lock(&app.answers.live).len(),
        copies,
        copied_tokens,
        records,
        slots_not_ready,
        peer_calls: traffic.calls,
        peer_bytes_sent: traffic.sent,
        peer_bytes_received: traffic.received,
    }
}

fn members_status(app: &App, list: &MemberList) -> Vec<MemberStatus> {
    let suspected = lock(&app.cluster).suspected(app.now());
    let members = list.members.iter().map(|m| MemberStatus {
        vm: m.vm.clone(),
        data_centre: m.data_centre.clone(),
        callers_at: m.callers_at,
        peers_at: m.peers_at,
        stopping: m.stopping,
        suspected: suspected.contains(&m.id),
    });
    members.collect()
}

fn upstreams_status(app: &App) -> Vec<UpstreamStatus> {
    let view = lock(&app.view);
    let loads = view.loads(app.now()).into_iter();
    let upstreams = loads.map(|(upstream, load)| UpstreamStatus {
        takes_work: view.accepts_work(&upstream),
        own: view.own_in_flight(&upstream),
        upstream,
        load,
    });
    upstreams.collect()
}
