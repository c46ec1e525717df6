//! Singleton work: work that one router at a time does for all, while it holds a lease in the
//! platform's store.
//!
//! | question | module |
//! | --- | --- |
//! | may this router act; does it renew the lease, take it over or wait | [`lease`] |
//! | what is the time of day if some VMs' clocks are wrong | [`fleet_clock`] |
//! | how many requests started in a window, for each client account | [`metering`] |
//! | how many engines should each data centre hold | [`autoscaling`] |
//!
//! Nothing here runs if the settings configure no singleton work.

pub mod autoscaling;
pub mod fleet_clock;
pub mod lease;
pub mod metering;
