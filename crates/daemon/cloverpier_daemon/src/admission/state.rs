//! Limits and queues of one router: what [`super`] acts on. Owns the loans, and the lines of waiting
//! requests.

use cloverpier_admit::{FairQueue, LocalQuota, QuotaAllocator, Ticket};
use cloverpier_core::ServiceName;
use cloverpier_route::{Chosen, RouteRequest};
use std::collections::HashMap;
use std::sync::Mutex;
use tokio::sync::oneshot;

/// A request that waits for a place.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) ask: RouteRequest,
    pub(super) tx: oneshot::Sender<Chosen>,
}

/// The requests of one service that wait for places.
#[derive(Debug, Default)]
pub(super) struct Line {
    pub(super) queue: FairQueue,
    pub(super) waiters: HashMap<Ticket, Waiter>,
}

/// Limits and queues of one router.
#[derive(Debug, Default)]
pub struct Admission {
    pub(super) borrowed: Mutex<LocalQuota>,
    pub(super) lender: Mutex<QuotaAllocator>,
    /// Lenders that did not answer, replaced by this router's even share for a while.
    pub(super) alone: Mutex<QuotaAllocator>,
    pub(super) lines: Mutex<HashMap<ServiceName, Line>>,
}
