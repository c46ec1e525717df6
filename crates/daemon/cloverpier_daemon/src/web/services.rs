//! Plain services as callers call them.
//!
//! Checks what a call may do and hands it to [`crate::plain`]; counts it as under way until then.

use crate::app::App;
use crate::error::ApiError;
use crate::plain;
use crate::web::app_of;
use crate::web::request::{caller, keyed, may_take, raw_body, repeatable};
use cloverpier_config::ServiceKind;
use cloverpier_upstream::{PlainCall, PlainResponse};
use reqwest::Method;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a plain service may take to answer a call.
const ANSWER_WITHIN: Duration = Duration::from_secs(10);

/// `/services/{service}/{path}`.
#[handler]
pub async fn pass_call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let app = app_of(depot);
    app.answers.calls.fetch_add(1, Ordering::Relaxed);
    let result = pass_on(&app, req).await;
    app.answers.calls.fetch_sub(1, Ordering::Relaxed);
    match result {
        Ok(answer) => render(res, answer),
        Err(error) => error.render(res),
    }
}

async fn pass_on(app: &Arc<App>, req: &mut Request) -> Result<PlainResponse, ApiError> {
    may_take(app)?;
    let caller = caller(app, req)?;
    // The route has the parameter, so it is always there.
    let name = req.param::<String>("service").unwrap_or_default();
    let (service, config) = caller.service(&name, "service")?;
    let ServiceKind::Plain { repeatable: rule } = config.kind else {
        return Err(ApiError::field("service", "expected a plain service"));
    };
    let path = path_within_service(req.uri().path());
    if has_dot_segment(&path) {
        let message = "expected a path without segments that are '.' or '..'";
        return Err(ApiError::field("path", message));
    }
    let method = Method::from_bytes(req.method().as_str().as_bytes())
        .map_err(|_| ApiError::field("method", "expected an HTTP method"))?;
    let may_repeat = plain::may_repeat(rule, &method, repeatable(req)?);
    let keyed = keyed(app, req, &caller.name)?;
    if !may_repeat && !keyed.given {
        let message = "expected a key, as the call may not be repeated";
        return Err(ApiError::field("Idempotency-Key", message));
    }
    let body = raw_body(req).await?;
    app.admission
        .charge(app, &caller.name, &caller.account, 0)
        .await?;
    let query = req.uri().query().map(|q| format!("?{q}"));
    let call = PlainCall {
        method,
        path: format!("{path}{}", query.unwrap_or_default()),
        content_type: req.header::<String>("Content-Type"),
        key: keyed.key.to_string(),
        body,
        timeout: ANSWER_WITHIN,
    };
    plain::call(app, &service, &keyed.key, &call, may_repeat).await
}

/// The path within the service, encoded as the caller sent it. The route's parameters are decoded, so they can't be used.
fn path_within_service(path: &str) -> String {
    let after_segment = |path: &str| {
        let path = path.trim_start_matches('/');
        // Without a rest of the path, the root is called.
        path.split_once('/').map_or("", |(_, rest)| rest).to_owned()
    };
    let path = after_segment(path);
    format!("/{}", after_segment(&path))
}

/// Whether a path has a segment that the HTTP client would resolve, so that the service would receive a different path.
fn has_dot_segment(path: &str) -> bool {
    let is_dots = |segment: &str| {
        let segment = segment.to_ascii_lowercase().replace("%2e", ".");
        segment == "." || segment == ".."
    };
    path.split('/').any(is_dots)
}

fn render(res: &mut Response, answer: PlainResponse) {
    let status = StatusCode::from_u16(answer.status);
    // A status that does not exist is the upstream's fault.
    res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    if let Some(kind) = answer.content_type
        && let Ok(kind) = HeaderValue::from_str(&kind)
    {
        res.headers_mut().insert(CONTENT_TYPE, kind);
    }
    // Writing to a body that was just made can't fail.
    let _ = res.write_body(answer.body);
}
