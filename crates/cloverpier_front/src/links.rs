//! What was heard from each server last, shared by all who wait for it.

use cloverpier_core::UpstreamName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Signs of life of one server.
#[derive(Debug)]
pub(crate) struct Link {
    /// When anything was heard from it last.
    pub heard: Cell<Instant>,
    /// Since when it is being asked whether it lives.
    pub asked: Cell<Option<Instant>>,
    /// Whether it was found dead: its requests are lost.
    pub dead: Cell<bool>,
    /// Wakes those who wait when it is found dead.
    pub found_dead: Notify,
}

impl Link {
    fn new(now: Instant) -> Self {
        Self {
            heard: Cell::new(now),
            asked: Cell::new(None),
            dead: Cell::new(false),
            found_dead: Notify::new(),
        }
    }

    /// Notes that something came from the server.
    pub fn on_heard(&self, now: Instant) {
        self.heard.set(now);
    }

    /// Tells all who wait for the server that it is dead.
    pub fn on_dead(&self) {
        self.dead.set(true);
        self.found_dead.notify_waiters();
    }
}

/// All links.
#[derive(Debug, Default)]
pub(crate) struct Links {
    by_server: RefCell<HashMap<UpstreamName, Rc<Link>>>,
}

impl Links {
    /// The link of a server.
    pub fn of(&self, server: &UpstreamName, now: Instant) -> Rc<Link> {
        let mut links = self.by_server.borrow_mut();
        let link = links.entry(server.clone());
        Rc::clone(link.or_insert_with(|| Rc::new(Link::new(now))))
    }

    /// Gives a server a new link, as after it was found dead.
    pub fn renew(&self, server: &UpstreamName, now: Instant) {
        let mut links = self.by_server.borrow_mut();
        links.insert(server.clone(), Rc::new(Link::new(now)));
    }

    /// Forgets links that nobody holds.
    pub fn forget_unused(&self) {
        let mut links = self.by_server.borrow_mut();
        links.retain(|_, link| Rc::strong_count(link) > 1);
    }
}
