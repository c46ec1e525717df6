//! What requests did to upstreams: learns it, judges it, shares it, and stops what ends them.
//!
//! | concern | module |
//! | --- | --- |
//! | what is known | [`state`] |
//! | attempts that are lost, and what became of their upstreams | `record` |
//! | whether a request may be sent now | `hold` |
//! | one attempt after the other, where the next could be one too many | `turn` |
//! | judgements, verdicts, what peers know | `judgement` |
//!
//! What an end says and what follows is decided in `cloverpier_crashes`, as for the router on the platform;
//! [`crate::members`] carries what is known to peers.

mod hold;
mod judgement;
mod record;
pub(crate) mod state;
mod turn;

pub use hold::{Admitted, admit, called_back};
pub use judgement::{merge, on_completed};
pub use record::on_lost;
pub use turn::Turn;

use crate::app::App;
use crate::error::{ApiError, Run};
use salvo::http::StatusCode;
use std::sync::Arc;

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(judgement::judge_lost(Arc::clone(app)));
}

/// The error of a request whose content ends upstreams.
pub fn stopped(run: Run) -> ApiError {
    let message = "upstreams ended while they ran this request; it is sent to no other one";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    ApiError::not_run(status, "crashes_upstreams", message).with_run(run)
}
