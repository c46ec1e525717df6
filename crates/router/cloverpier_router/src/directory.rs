//! Answers which routers callers should use.

use crate::front::Front;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// The directory's answer; `None` when no router is known to serve.
pub(crate) fn directory_answer(front: &Front, now: Instant) -> Option<Vec<u8>> {
    let settings = front.settings();
    let own = (front.state() == PeerState::Ready).then_some(settings.listen.callers);
    let listed = front
        .directory
        .borrow()
        .listed(own, now, front.peer_silence());
    if listed.is_empty() {
        return None;
    }
    Some((front.dialect.directory_answer)(
        &listed,
        settings.directory_keep,
    ))
}
