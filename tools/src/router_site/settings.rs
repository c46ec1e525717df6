//! The settings files of a site's routers.

use super::{
    GRACE, LEASE, RETRY_SLACK, ROUTER_MEMORY_MB, Site, SiteRouter, USAGE_LATE, USAGE_WINDOW,
};
use cloverpier_router_standin::link::Link;
use std::io;
use std::net::SocketAddr;

/// Routers that each one asks first.
const SEEDS: usize = 3;

/// Where a router listens, and whom it reaches where.
struct Ways<'a> {
    /// Those for callers, for the question whether it is ready, of the directory and of the metrics.
    addresses: &'a [SocketAddr],
    peers: &'a [SocketAddr],
    store: SocketAddr,
    api: SocketAddr,
}

impl Site {
    /// Writes a settings file for each router of the site, and starts the links that it stands behind.
    pub(super) async fn write_router_settings(&mut self) -> io::Result<()> {
        let free_addresses = self.spec.free_addresses;
        let peers = free_addresses(self.spec.routers)?;
        for index in 0..self.spec.routers {
            let addresses = free_addresses(4)?;
            let store_link = Link::start(self.store.address()).await?;
            let api_link = Link::start(self.api.address()).await?;
            let settings = self.spec.dir.join(format!("front-{index}.toml"));
            let ways = Ways {
                addresses: &addresses,
                peers: &peers,
                store: store_link.address(),
                api: api_link.address(),
            };
            let text = self.settings_text(index, &ways);
            std::fs::write(&settings, text)?;
            self.routers.push(SiteRouter {
                process: None,
                callers: addresses[0],
                ready: addresses[1],
                directory: addresses[2],
                metrics: addresses[3],
                peers: peers[index],
                store_link,
                api_link,
                log: self.spec.dir.join(format!("front-{index}.log")),
                settings,
            });
        }
        Ok(())
    }

    fn settings_text(&self, index: usize, ways: &Ways<'_>) -> String {
        let seeds = ways.peers.iter().take(SEEDS);
        let seeds: Vec<String> = seeds.map(|peer| format!("\"{peer}\"")).collect();
        let text = format!(
            "vm = \"front-{index}\"\ndata_centre = \"hall-{}\"\ncallers_listen = \"{}\"\n\
             ready_listen = \"{}\"\ndirectory_listen = \"{}\"\nmetrics_listen = \"{}\"\n\
             peers_listen = \"{}\"\nstore = \"{}\"\nseeds = [{}]\ngrace_s = {}\n\
             retry_ratio = 0.8\nretry_slack = {RETRY_SLACK}\naddress_reuse_s = {}\n\
             memory_mb = {ROUTER_MEMORY_MB}\n\
             exposure_share = 0.1\nexposure_slack = 50\n",
            index % 2,
            ways.addresses[0],
            ways.addresses[1],
            ways.addresses[2],
            ways.addresses[3],
            ways.peers[index],
            ways.store,
            seeds.join(", "),
            GRACE.as_secs(),
            self.spec.address_reuse_s,
        );
        text + &self.singleton_settings(ways.api) + self.admission_settings()
    }

    fn admission_settings(&self) -> &'static str {
        if self.spec.orders_streams {
            "admission = \"ordered\"\n"
        } else {
            ""
        }
    }

    fn singleton_settings(&self, api: SocketAddr) -> String {
        if !self.spec.singleton {
            return String::new();
        }
        format!(
            "singleton_api = \"{api}\"\nsingleton_work = [\"metering\", \"autoscale\"]\n\
             singleton_lease_ms = {}\nusage_window_s = {}\nusage_late_s = {}\n",
            LEASE.as_millis(),
            USAGE_WINDOW.as_secs_f64(),
            USAGE_LATE.as_secs_f64(),
        )
    }
}
