//! Decides which streams are sent to engines, which wait in the router, and which are refused.
//!
//! - **Question.** When not all streams of a service fit at its engines, which of them is sent now, which waits in the
//!   router, and which is refused?
//! - **Inputs.** The load at the engines; the streams that wait at this router, and the numbers of those that wait at
//!   others; the streams in flight of client accounts; deadlines.
//! - **Result.** The waiting streams that are sent now; for a stream that can't be sent, until when it waits, or that it
//!   is refused.
//! - **Why.** An engine serves what it has let in, and streams that wait in its queue can't be reordered. So routers
//!   send an engine only what it soon begins to read, keep the rest, and send the stream that goes before the others
//!   once there is room. A caller that can't be served before its deadline learns this at once.
//!
//! Callers choose routers at random, so one router knows only a small part of the streams that wait. While streams wait
//! at any router, the routers report to each other how many of each [`Rank`] wait and which client accounts have the
//! most streams. Each router then deals the room of the whole fleet among all waiting streams and takes the part of its
//! own ones. No router decides for others, so the loss of a router or of messages costs accuracy and nothing else.
//!
//! | question | module |
//! | --- | --- |
//! | how many streams fit at the engines | [`room`] |
//! | which stream goes before which | [`order`] |
//! | which client accounts have more than their share | [`shares`] |
//! | what do the other routers have | [`reports`] |
//! | which waiting streams are sent now | [`turns`], [`queue`] |
//! | does a stream wait, and for how long | [`wait`] |
//!
//! Only streams at services with model engines wait; requests for plain services are not ordered.

pub mod order;
pub mod queue;
pub mod reports;
pub mod room;
pub mod shares;
pub mod turns;
pub mod wait;

pub use order::{Rank, Ticket, WaitingStream};
pub use queue::{Deal, WaitingQueue};
pub use reports::{AccountKey, AccountUse, DemandReports, ServiceDemand};
pub use wait::{StreamDuration, WaitDecision, WaitInputs};
