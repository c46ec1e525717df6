//! All decisions of the router, which forwards requests and event streams to upstreams.
//!
//! The router does not interpret the requests that it forwards. Each rule that routes, admits, places, retries
//! or ends a request is a function or a small state machine over plain data in this crate. The crate uses no
//! sockets, no HTTP library and no clock: callers pass the current time. The crate `cloverpier_router` carries
//! the decisions out and makes none of its own.
//!
//! The modules, in the order in which a request passes them. Each begins with its question, its inputs, its
//! result and the reason for its rules:
//!
//! | question | module |
//! | --- | --- |
//! | which route and service; what was configured | [`configuration`] |
//! | is a request admitted or rejected on arrival | [`arrival`] |
//! | how much memory do buffered bodies take | [`buffer_memory`] |
//! | which streams wait for engines, and which of them is sent first | [`admission`] |
//! | how long may a request take | [`deadline`] |
//! | which engine has read a prompt | [`prompt_locations`], [`prompt_search`] |
//! | which engines are queried for their load | [`load_query`] |
//! | which upstream gets an attempt | [`choice`] |
//! | when does an engine send the first event of a stream | [`first_event`] |
//! | does a stream without an event stay at its living engine | [`first_event_wait`] |
//! | how long does work take at an upstream, relative to the usual time | [`pace`] |
//! | which software version may a stream continue at | [`stream_version`] |
//! | which engine keeps a replica of a stream's KV cache | [`replica`] |
//! | which idle connections are used again | [`connection_reuse`] |
//! | when is a silent upstream probed, dead, or a stream stalled | [`liveness`] |
//! | what is silent: an attempt, its upstream, or its service | [`silence`] |
//! | is a response valid; did the request of a failed attempt run | [`attempt_failure`] |
//! | of which upstream does an answer say something | [`statement`] |
//! | which upstreams have said that they leave | [`leaving`] |
//! | how many requests a second does an upstream take | [`limit`] |
//! | may a request be sent to one that limits itself | [`permit`] |
//! | how much does a brittle upstream get, and when nothing | [`brittle`] |
//! | which upstreams want nothing for a while | [`cloverpier_core::wait`] |
//! | which upstreams get no further attempt of a request | [`tried_upstreams`] |
//! | is a failed attempt retried | [`attempts`], [`budget`] |
//! | when should a refused caller retry | [`refusal`] |
//! | which upstreams may be dead, which data centres | [`suspicion`] |
//! | which upstreams does this router reach itself, which only through a peer | [`reachability`] |
//! | is an upstream that does not respond dead, or is the path to it lost | [`path_evidence`] |
//! | through which peer does a tunnel go | [`tunnel_peers`] |
//! | does the process at a dead upstream's address belong to its service | [`successor`] |
//! | until when does a process without an entry in the list get requests | [`unlisted`] |
//! | what is reported to peers of requests that end upstreams | [`crash_reports`] |
//! | which facts are sent to peers again | [`dissemination`] |
//! | which routers do callers get | [`peers`] |
//! | which peers are sent what, and how long it counts | [`heartbeat`] |
//! | which routers live, in a large fleet, and who informs whom | [`membership`] |
//! | who watches the store, and how often | [`store_watch`] |
//! | what a large fleet knows of its watchers | [`watcher_reports`] |
//! | who reads the list of upstreams at a start | [`first_read`] |
//! | when is the store pinged | [`store_ping`] |
//! | from which peer are newer versions fetched | [`version_fetch`] |
//! | when is a newer version read from the store instead | [`overdue_version`] |
//! | does a peer get a copy of the configuration now | [`version_serving`] |
//! | does the list of upstreams lack a change; do two routers have the same | [`list_evidence`], [`list_digest`] |
//! | is this router ready; may it exit | [`lifecycle`] |
//! | which software versions get requests during a roll-out, and how it ends | [`rollout`] |
//! | what does one router at a time do for all, and which one | [`singleton`] |
//!
//! Several modules share the state in [`upstream_table`], [`upstream`] and [`load`]. [`events`] splits streams
//! into events.
//!
//! ```
//! use cloverpier_router_policy::prelude::*;
//!
//! // A request that may run at most once was sent, and the connection broke before a response arrived.
//! let mut attempts = Attempts::new(RetryRule::AtMostOnce, 3);
//! attempts.on_send();
//! let next = attempts.on_outcome(AttemptOutcome::Unknown, true, || true);
//! assert_eq!(next, NextStep::Fail);
//! ```

#![warn(clippy::disallowed_methods)]

pub mod admission;
pub mod arrival;
pub mod attempt_failure;
pub mod attempts;
pub mod brittle;
pub mod budget;
pub mod buffer_memory;
pub mod choice;
pub mod configuration;
pub mod connection_reuse;
pub mod crash_reports;
pub mod deadline;
pub mod dissemination;
pub mod events;
pub mod first_event;
pub mod first_event_wait;
pub mod first_read;
pub mod heartbeat;
pub mod leaving;
pub mod lifecycle;
pub mod limit;
pub mod list_digest;
pub mod list_evidence;
pub mod liveness;
pub mod load;
pub mod load_query;
pub mod membership;
pub mod overdue_version;
pub mod pace;
pub mod path_evidence;
pub mod peers;
pub mod permit;
pub mod prompt_locations;
pub mod prompt_search;
pub mod reachability;
pub mod refusal;
pub mod replica;
pub mod rollout;
pub mod silence;
pub mod singleton;
pub mod statement;
pub mod store_ping;
pub mod store_watch;
pub mod stream_version;
pub mod successor;
pub mod suspicion;
pub mod tried_upstreams;
pub mod tunnel_peers;
pub mod unlisted;
pub mod upstream;
pub mod upstream_table;
pub mod version_fetch;
pub mod version_serving;
pub mod watch_position;
pub mod watcher_reports;

/// The types that users of the crate need most; functions and constants are imported from their modules.
pub mod prelude {
    pub use crate::attempt_failure::AttemptFailure;
    pub use crate::attempts::{AttemptOutcome, Attempts, NextStep, RetryRule};
    pub use crate::budget::{BudgetBounds, BudgetUse, PeerBudgetUse, RetryBudget};
    pub use crate::choice::{Choice, Demand, NoUpstream, choose_upstream};
    pub use crate::configuration::{
        ClientAccount, Configuration, ConfigurationIndex, EngineConfig, Limits, Route, RouteTarget,
        ServiceConfig,
    };
    pub use crate::events::{EventError, EventSplitter, StreamEvent};
    pub use crate::leaving::LeavingReport;
    pub use crate::liveness::{Liveness, LivenessBounds, LivenessStep};
    pub use crate::load::{Load, PeerLoad};
    pub use crate::load_query::{EngineReport, ReportedLoad};
    pub use crate::peers::{PeerEntry, PeerState, PeerTable, ServiceKey};
    pub use crate::permit::LimitedUpstreams;
    pub use crate::prompt_locations::{PromptKey, PromptLocations};
    pub use crate::replica::choose_replica;
    pub use crate::rollout::{
        OrderUpdate, Progress, RolloutOrder, RolloutView, Stage, VersionRule,
    };
    pub use crate::statement::UpstreamStatement;
    pub use crate::store_watch::WatcherRole;
    pub use crate::stream_version::{
        OriginRecord, StreamKey, StreamOrigin, StreamVersion, VersionHistory, VersionsReport,
    };
    pub use crate::upstream::{
        IncarnationNumber, Listing, StartOrder, Upstream, UpstreamChange, UpstreamKey,
        UpstreamStart, UpstreamState,
    };
    pub use crate::upstream_table::{
        AppliedUpdate, Departure, ExclusionCounts, ServiceWait, UpstreamTable,
    };
}

pub use prelude::*;
