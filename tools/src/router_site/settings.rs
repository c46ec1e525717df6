//! The settings files of a site's routers.

use super::{
    GRACE, LEASE, RETRY_SLACK, ROUTER_MEMORY_MB, Site, SiteRouter, USAGE_LATE, USAGE_WINDOW,
};
use cloverpier_router_standin::link::Link;
use std::io;
use std::net::SocketAddr;

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
            let seeds: Vec<String> = peers.iter().take(3).map(|p| format!("\"{p}\"")).collect();
            let text = format!(
                "vm = \"front-{index}\"\ndata_centre = \"hall-{}\"\ncallers_listen = \"{}\"\n\
                 ready_listen = \"{}\"\ndirectory_listen = \"{}\"\nmetrics_listen = \"{}\"\n\
                 peers_listen = \"{}\"\nstore = \"{}\"\nseeds = [{}]\ngrace_s = {}\n\
                 retry_ratio = 0.8\nretry_slack = {RETRY_SLACK}\naddress_reuse_s = {}\n\
                 memory_mb = {ROUTER_MEMORY_MB}\n\
                 exposure_share = 0.1\nexposure_slack = 50\n",
                index % 2,
                addresses[0],
                addresses[1],
                addresses[2],
                addresses[3],
                peers[index],
                store_link.address(),
                seeds.join(", "),
                GRACE.as_secs(),
                self.spec.address_reuse_s,
            );
            let text =
                text + &self.singleton_settings(api_link.address()) + self.admission_settings();
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
