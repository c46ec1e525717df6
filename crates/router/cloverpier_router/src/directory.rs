//! Answers which routers callers should use.

use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// The directory's answer; `None` when no router is known to serve.
pub(crate) fn directory_answer(router: &Router, now: Instant) -> Option<Vec<u8>> {
    let settings = router.settings();
    let own = (router.state() == PeerState::Ready).then_some(settings.listen.callers);
    let listed = router
        .directory
        .borrow()
        .listed(own, now, router.peer_silence());
    if listed.is_empty() {
        return None;
    }
    Some((router.wire_names.directory_answer)(
        &listed,
        settings.directory_keep,
    ))
}
