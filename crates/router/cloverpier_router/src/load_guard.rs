//! This router's load at upstreams, as RAII guards.
//!
//! A [`LoadGuard`] owns one request's load in the table of upstreams and takes it away when
//! dropped, however the request ends.

use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;

/// Load at an upstream that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    router: Rc<Router>,
    upstream: UpstreamName,
    load: Load,
}

impl LoadGuard {
    /// Adds load at an upstream.
    pub fn begin(router: &Rc<Router>, upstream: &UpstreamName, load: Load) -> Self {
        router.upstreams.borrow_mut().add_load(upstream, load);
        Self {
            router: Rc::clone(router),
            upstream: upstream.clone(),
            load,
        }
    }

    /// Records that the prompt has been read.
    pub fn on_prompt_read(&mut self) {
        let read = Load {
            unread_tokens: self.load.unread_tokens,
            ..Load::default()
        };
        let mut table = self.router.upstreams.borrow_mut();
        table.remove_load(&self.upstream, read);
        self.load.unread_tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut table = self.router.upstreams.borrow_mut();
        table.remove_load(&self.upstream, self.load);
    }
}
