//! The upstreams of a site: which there are, how they end and start again, orders to move them.
//!
//! Each upstream stands behind a link that can be cut; the store lists the link's address. Relies
//! on the stand-ins for what an upstream does.

use super::{ENGINES, PLAIN, Site};
use cloverpier_adapter_standin::{
    ROLLOUTS, cache_shape, load_shape, rollout_order, rollout_state, with_start,
};
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::UpstreamStart;
use cloverpier_router_standin::link::{Harm, Link};
use cloverpier_router_standin::upstream::{UpstreamSpec, UpstreamStandIn};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Requests that an engine says to work on at once.
const ENGINE_SLOTS: u32 = 64;

/// One upstream behind its link.
#[derive(Debug)]
pub struct SiteUpstream {
    /// The upstream, while it runs.
    pub stand_in: UpstreamStandIn,
    /// The way to it.
    pub link: Link,
    pub(super) spec: UpstreamSpec,
    address: SocketAddr,
}

impl Site {
    pub(super) async fn add_upstream(&mut self, index: usize) -> io::Result<()> {
        let is_engine = index < self.spec.engines;
        let start = self.spec.upstream_start.clone();
        self.add_upstream_of(is_engine, start).await
    }

    /// Adds upstreams of another version, beside those of their service that are there.
    ///
    /// # Errors
    ///
    /// No port can be listened at.
    pub async fn add_version(
        &mut self,
        service: &str,
        version: &str,
        count: usize,
    ) -> io::Result<Vec<usize>> {
        let first = self.upstreams.len();
        for _ in 0..count {
            let start = UpstreamStart {
                version: version.into(),
                start_time_ms: None,
            };
            self.add_upstream_of(service == ENGINES, Some(start))
                .await?;
        }
        Ok((first..self.upstreams.len()).collect())
    }

    async fn add_upstream_of(
        &mut self,
        is_engine: bool,
        start: Option<UpstreamStart>,
    ) -> io::Result<()> {
        let spec = self.upstream_spec(is_engine, start);
        let ledger = Arc::clone(&self.ledger);
        // While an upstream is away, no outgoing connection may take its port or its link's.
        let [address, of_link] = self.free_address_pair()?;
        let names = self.names.clone();
        let stand_in = UpstreamStandIn::start(spec.clone(), Some(address), names, ledger).await?;
        let link = Link::start_at(of_link, address).await?;
        stand_in.set_listed_address(link.address());
        self.store.put_upstream(&stand_in.listed());
        self.upstreams.push(SiteUpstream {
            stand_in,
            link,
            spec,
            address,
        });
        Ok(())
    }

    /// The description of the next upstream.
    fn upstream_spec(&self, is_engine: bool, start: Option<UpstreamStart>) -> UpstreamSpec {
        let index = self.upstreams.len();
        UpstreamSpec {
            name: format!("server-{index}-0"),
            service: if is_engine { ENGINES } else { PLAIN }.to_owned(),
            data_centre: format!("hall-{}", index % 2),
            event_interval: self.spec.event_interval,
            seed: self.spec.seed + index as u64,
            cache: cache_shape(),
            load: load_shape(),
            with_start,
            start,
            crashed_by: self.spec.crashed_by,
            crash_after: self.spec.crash_after,
            engine: self.spec.engine.filter(|_| is_engine),
            slots: if is_engine {
                ENGINE_SLOTS
            } else {
                self.spec.plain_slots
            },
        }
    }

    fn free_address_pair(&self) -> io::Result<[SocketAddr; 2]> {
        let addresses = (self.spec.free_addresses)(2)?;
        let pair = <[SocketAddr; 2]>::try_from(addresses);
        pair.map_err(|_| io::Error::other("not two addresses"))
    }

    /// Whether an upstream is or was the one at a position: a crash gives it another name, with the same beginning.
    pub fn is_upstream_at(name: &UpstreamName, index: usize) -> bool {
        let number = name.as_str().strip_prefix("server-");
        let number = number.and_then(|rest| rest.split('-').next());
        number.and_then(|number| number.parse().ok()) == Some(index)
    }

    /// Crashes an upstream: its connections close, its port refuses.
    pub fn crash_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.stand_in.stop();
        upstream.link.close();
    }

    /// Starts a crashed upstream anew, under another name, and lists it.
    ///
    /// # Errors
    ///
    /// Its port is taken.
    pub async fn restart_upstream(&mut self, index: usize) -> io::Result<()> {
        self.crash_upstream(index);
        self.starts += 1;
        let upstream = &mut self.upstreams[index];
        self.store.remove_upstream(&upstream.spec.name);
        upstream.spec.name = format!("server-{index}-{}", self.starts);
        self.relaunch(index).await
    }

    /// Starts a crashed upstream again under the name that it had, and lists it with its new start.
    ///
    /// # Errors
    ///
    /// Its port is taken.
    pub async fn start_upstream_again(&mut self, index: usize) -> io::Result<()> {
        self.crash_upstream(index);
        self.starts += 1;
        let upstream = &mut self.upstreams[index];
        if let Some(start) = &mut upstream.spec.start {
            start.start_time_ms = start.start_time_ms.map(|born| born + self.starts);
        }
        self.relaunch(index).await
    }

    /// Pauses the upstreams that run, or lets them go on: nothing that is sent to one or by it arrives
    /// before it goes on, and all of it does then.
    pub fn pause_upstreams(&self, is_paused: bool) {
        for index in 0..self.upstreams.len() {
            self.pause_upstream(index, is_paused);
        }
    }

    /// The same for one; one that has crashed stays as it is.
    pub fn pause_upstream(&self, index: usize, is_paused: bool) {
        let harm = if is_paused { Harm::Silence } else { Harm::None };
        let upstream = &self.upstreams[index];
        let has_ended = self.is_down(index);
        if !has_ended && !upstream.stand_in.has_crashed() {
            upstream.link.set_harm(harm);
        }
    }

    /// Starts an upstream of the plain service at the address of a crashed one, under another name. The store still lists
    /// the crashed one, and not the new one.
    ///
    /// # Errors
    ///
    /// Its port is taken.
    pub async fn start_plain_in_place_of(&mut self, index: usize) -> io::Result<()> {
        self.starts += 1;
        let spec = &mut self.upstreams[index].spec;
        spec.name = format!("server-{index}-{}", self.starts);
        spec.service = PLAIN.to_owned();
        self.launch(index).await
    }

    /// Starts an upstream by its present description, at its address, and lists it.
    async fn relaunch(&mut self, index: usize) -> io::Result<()> {
        self.launch(index).await?;
        let listed = self.upstreams[index].stand_in.listed();
        self.store.put_upstream(&listed);
        Ok(())
    }

    /// Starts an upstream by its present description, at its address.
    async fn launch(&mut self, index: usize) -> io::Result<()> {
        let upstream = &mut self.upstreams[index];
        let (spec, at) = (upstream.spec.clone(), Some(upstream.address));
        let ledger = Arc::clone(&self.ledger);
        upstream.stand_in = UpstreamStandIn::start(spec, at, self.names.clone(), ledger).await?;
        upstream
            .stand_in
            .set_listed_address(upstream.link.address());
        upstream.link.set_harm(Harm::None);
        upstream.link.reopen().await
    }

    /// Orders that a service moves to a version.
    pub fn order_rollout(&self, service: &str, version: &str, duration: Duration) {
        let spec = rollout_order(service, version, duration);
        self.store.put_object(ROLLOUTS, service, &spec);
    }

    /// Takes the order of a service back.
    pub fn withdraw_rollout(&self, service: &str) {
        self.store.remove_object(ROLLOUTS, service);
    }

    /// What the routers have written of a service's order: its state; nothing before.
    pub fn rollout_state(&self, service: &str) -> Option<String> {
        rollout_state(&self.store.status_of(ROLLOUTS, service)?)
    }
}
