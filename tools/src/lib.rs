//! What maintainers run: the demo, the measurements, and the fleet of processes under both.
//!
//! Everything here counts from the callers' and the stand-ins' side; the
//! routers' own word is used only for the bytes between them.

pub mod crash_play;
pub mod fleet;
pub mod gossip_play;
pub mod limit_play;
pub mod load;
pub mod partition_play;
pub mod placement;
pub mod ports;
pub mod process;
pub mod report;
pub mod return_play;
pub mod rollout_play;
pub mod router_site;
pub mod scenarios;
pub mod soak;
pub mod statement_play;
pub mod version_play;
pub mod version_spread;
