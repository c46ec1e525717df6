//! The router: the process that forwards callers' requests to upstreams.
//!
//! This crate does the I/O and applies the decisions of `cloverpier_router_policy`; it contains no decision rules of
//! its own. All tasks run on one thread, so they share state by [`std::rc::Rc`] and borrow it briefly; the module
//! `router` lists which component owns which state. A platform's adapter provides the names on the wire (headers,
//! paths, bodies) as [`WireNames`], and the configuration and the upstreams through a [`ConfigurationSource`].
//!
//! | concern | modules |
//! | --- | --- |
//! | start, shutdown | `start`, `signals`, `lifecycle` |
//! | a request, in the order of processing | `web`, `intake`, `request_headers`, `resumption`, `buffer_reservation`, `relay_request`, then `plain` or `stream`, `attempt_message`, `send`, `wait`, `silence`, `first_event_watch`, `next_attempt`, `outcome`, `responses` |
//! | streams that wait for engines | `admission` |
//! | engines that have read a prompt | `prompts`, `prompt_search` |
//! | queries for engines' load | `load_query`, `engine_query` |
//! | versions that began streams | `stream_origins` |
//! | requests that crash upstreams | `crashes`, `cancel_signal` |
//! | upstreams' health | `health`, `probe`, `suspect_checks`, `reachability`, `successors`, `liveness_queries`, `restart`, `load_guard` |
//! | upstreams' statements about themselves | `statements`, `leaving_reports`, `limit_reports`, `upstream_limits`, `brittle`, `pace_reports` |
//! | tunnels to upstreams through peers | `tunnel` |
//! | the store | `source`, `store_sync`, `list_checks`, `list_confirmation`, `store_pings`, `store_view`, `store_events`, `upstream_updates` |
//! | roll-outs of new versions | `rollout_state`, `rollouts`, `rollout_steps`, `rollout_store` |
//! | work that only one router at a time does | `singleton` |
//! | other routers | `peers`, `outbox`, `datagrams`, `heartbeats`, `gossip`, `peer_reports`, `peer_fetch`, `peer_serve`, `list_copies`, `configuration_copies`, [`peer_messages`] |
//! | connections | `connection`, `pool`, `http_client`, `body` |
//! | logs and metrics | `decision_log`, `choice_log`, `upstream_log`, `call_kind`, `metrics`, `metric_kinds` |
//! | CPU-heavy work on another thread | `background` |
//!
//! The crate uses `hyper` at the level of connections. Whether a request may be retried depends on whether any byte of
//! the request was written, whether the response ended cleanly and whether more data followed the response. HTTP
//! clients with built-in connection pools do not report these.
//!
//! ```
//! use cloverpier_router::peer_messages::{Change, PeerMessage, decode, encode};
//!
//! let change = PeerMessage::Change(Change {
//!     sender: ([127, 0, 0, 1], 7104).into(),
//!     load: Vec::new(),
//!     suspects: Vec::new(),
//!     prompt_locations: Vec::new(),
//! });
//! let bytes = encode(&change).unwrap();
//! assert_eq!(decode::<PeerMessage>(&bytes).unwrap(), change);
//! ```

#![warn(clippy::disallowed_methods)]

mod abandonable_stream;
mod admission;
mod attempt_message;
mod background;
mod body;
mod brittle;
mod buffer_reservation;
mod call_kind;
mod caller_stream;
mod cancel_signal;
mod choice_log;
mod configuration_copies;
mod connection;
mod crashes;
mod datagrams;
mod decision_log;
mod engine_query;
mod first_event_watch;
mod gossip;
mod health;
mod heartbeats;
mod http_client;
mod intake;
mod leaving_reports;
mod lifecycle;
mod limit_reports;
mod list_checks;
mod list_confirmation;
mod list_copies;
mod liveness_queries;
mod load_guard;
mod load_query;
mod metric_kinds;
mod metrics;
mod next_attempt;
mod outbox;
mod outcome;
mod pace_reports;
mod page_cursor;
mod peer_fetch;
pub mod peer_messages;
mod peer_reports;
mod peer_serve;
mod peers;
mod plain;
mod pool;
mod probe;
mod prompt_search;
mod prompts;
mod reachability;
mod relay_request;
mod request_headers;
mod responses;
mod restart;
mod resumption;
mod retry_budgets;
mod rollout_state;
mod rollout_steps;
mod rollout_store;
mod rollouts;
mod router;
mod send;
mod signals;
mod silence;
mod singleton;
mod source;
mod start;
mod statements;
mod store_events;
mod store_list;
mod store_pings;
mod store_reads;
mod store_sync;
mod store_view;
mod stream;
mod stream_origins;
mod streamed_rest;
mod successors;
mod suspect_checks;
mod suspension;
mod tunnel;
mod upstream_limits;
mod upstream_log;
mod upstream_updates;
mod wait;
mod web;
mod wire_names;

/// The items that most users of the crate need; the crate root exports them, too.
pub mod prelude {
    pub use crate::background::run_in_background;
    pub use crate::http_client::{CallError, DownloadTimeouts, HttpClient, HttpResponse};
    pub use crate::page_cursor::{PageCursor, PageStep};
    pub use crate::router::Router;
    pub use crate::singleton::{
        HolderCall, LeaseRecord, RecordWriteResult, ServiceScaling, SingletonPlatform, StoredRecord,
    };
    pub use crate::source::{
        ConfigurationChange, ConfigurationSource, EntryChange, MixedServiceMarks, PagePosition,
        RolloutChange, RolloutChanges, RolloutStatus, SourceError, StatusWriteResult,
        StoredRollout, UnreadableEntry, UpstreamChanges, UpstreamList, UpstreamPage, VersionRecord,
    };
    pub use crate::start::{StartError, run_router};
    pub use crate::wire_names::{HeaderNames, Paths, ResponseParts, TokenCounts, WireNames};
}

pub use prelude::*;
