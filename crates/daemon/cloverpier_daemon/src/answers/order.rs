//! What is sent to an engine for one attempt, and what arrives. Owns nothing beyond the request's future and
//! the stream.

use crate::answers::failure::Failure;
use crate::answers::live::Live;
use crate::app::App;
use cloverpier_answer::AttemptId;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_upstream::{
    EngineEvent, EventStream, GenerateBody, GenerationBody, StartError, StreamError,
};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// The answer to an order, once its head arrives.
pub(super) type Starting = BoxFuture<'static, Result<EventStream, StartError>>;

/// What an order brings.
pub(super) enum Arrived {
    Start(Result<EventStream, StartError>),
    Event(Result<Option<EngineEvent>, StreamError>),
}

/// What was sent to an engine.
pub(super) enum Order {
    /// Its answer has not begun.
    Sent(Starting),
    /// Its events arrive.
    Open(EventStream),
}

/// Waits for what arrives next. Nothing is lost if the wait is dropped.
pub(super) async fn arrives(order: &mut Order) -> Arrived {
    match order {
        Order::Sent(start) => Arrived::Start(start.await),
        Order::Open(stream) => Arrived::Event(stream.next().await),
    }
}

/// Orders the rest of an answer.
pub(super) fn generate_at(app: &App, live: &Live, id: AttemptId, address: SocketAddr) -> Starting {
    let body = GenerateBody {
        generation: generation_name(live, id),
        model: live.spec.model.clone(),
        prompt: Arc::clone(&live.spec.prompt),
        prefix: live.look(|s| s.answer.tokens_from(0).to_vec()),
        max_tokens: live.spec.max_tokens,
        priority: live.spec.priority,
        adapter: live.spec.adapter.clone(),
    };
    let engine = app.engines.engine(address);
    async move { engine.generate(&body).await }.boxed()
}

/// Asks an engine for the stream of an attempt, from the last accepted token on.
pub(super) fn resume_at(
    app: &App,
    live: &Live,
    attempt: AttemptId,
    address: SocketAddr,
) -> Starting {
    let body = GenerationBody {
        generation: generation_name(live, attempt),
        offset: live.look(|s| s.answer.len()),
    };
    let engine = app.engines.engine(address);
    async move { engine.resume(&body).await }.boxed()
}

/// The event of a stream, or what its end means before the last one.
pub(super) fn event_of(
    event: Result<Option<EngineEvent>, StreamError>,
) -> Result<EngineEvent, Failure> {
    match event {
        Ok(Some(event)) => Ok(event),
        Ok(None) => Err(Failure::Closed),
        Err(StreamError::ConnectionBroken { .. }) => Err(Failure::ConnectionBroken),
        Err(StreamError::InvalidLine { .. } | StreamError::LineTooLong) => Err(Failure::Unreadable),
    }
}

/// Where an engine is; `None` if it has left the configuration.
pub(super) fn address_of(app: &App, upstream: &UpstreamName) -> Option<SocketAddr> {
    lock(&app.view).upstream(upstream).map(|u| u.address)
}

/// The name of an attempt's generation at its engine.
pub(super) fn generation_name(live: &Live, attempt: AttemptId) -> String {
    let AttemptId {
        term,
        opener,
        number,
    } = attempt;
    format!("{}#{term}.{opener:x}.{number}", live.key)
}
