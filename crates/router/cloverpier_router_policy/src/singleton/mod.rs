//! Work that one router at a time does for all: it holds a lease in the platform's store.
//!
//! | question | module |
//! | --- | --- |
//! | may this router act; does it renew, take over or wait | [`lease`] |
//! | what time is it, where some VMs' clocks are wrong | [`fleet_clock`] |
//! | how many requests began to run in a window, for each client account | [`metering`] |
//! | how many engines should each data centre hold | [`autoscaling`] |
//!
//! Nothing of it runs where the settings name no such work.

pub mod autoscaling;
pub mod fleet_clock;
pub mod lease;
pub mod metering;
