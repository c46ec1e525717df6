//! RAII guards for the load that this router's requests add at upstreams.
//!
//! A [`LoadGuard`] owns the load of one attempt or one replica in the table of upstreams, and removes the load when
//! it is dropped, however the attempt ends.

use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;

/// Load at an upstream that is removed when the guard is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    router: Rc<Router>,
    upstream: UpstreamName,
    load: Load,
}

impl LoadGuard {
    /// Adds load at an upstream. An upstream that is not in the table is ignored.
    pub fn begin(router: &Rc<Router>, upstream: &UpstreamName, load: Load) -> Self {
        router.upstreams.borrow_mut().add_load(upstream, load);
        Self {
            router: Rc::clone(router),
            upstream: upstream.clone(),
            load,
        }
    }

    /// Removes the part of the load that stands for the unread prompt, because the engine has read it.
    pub fn on_prompt_read(&mut self) {
        let read_prompt = Load {
            unread_tokens: self.load.unread_tokens,
            ..Load::default()
        };
        let mut table = self.router.upstreams.borrow_mut();
        table.remove_load(&self.upstream, read_prompt);
        self.load.unread_tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut table = self.router.upstreams.borrow_mut();
        table.remove_load(&self.upstream, self.load);
    }
}
