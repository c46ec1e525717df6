//! Switching faults of a fleet's processes, and reading what they counted.

use super::{Fleet, Link};
use crate::process::Usage;
use cloverpier_daemon_standin::{
    EngineCounts, EngineFaults, LinkFaults, PlatformCounts, PlatformFaults, ServiceCounts,
    ServiceFaults,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

impl Fleet {
    /// Reads JSON; `None` when nobody answers.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Option<T> {
        let req = self.http.get(url).timeout(Duration::from_secs(2));
        req.send().await.ok()?.json().await.ok()
    }

    async fn post<T: Serialize>(&self, url: &str, body: &T) -> bool {
        let req = self
            .http
            .post(url)
            .timeout(Duration::from_secs(2))
            .json(body);
        req.send().await.is_ok_and(|r| r.status().is_success())
    }

    /// Switches faults of an engine.
    pub async fn engine_faults(&self, index: usize, faults: &EngineFaults) -> bool {
        let url = format!("http://{}/faults", self.engines[index].address);
        self.post(&url, faults).await
    }

    /// Switches faults of a link.
    pub async fn link_faults(&self, link: &Link, faults: LinkFaults) -> bool {
        let url = format!("http://{}/faults", link.control);
        self.post(&url, &faults).await
    }

    /// Switches faults of the platform.
    pub async fn platform_faults(&self, faults: &PlatformFaults) -> bool {
        let url = format!("http://{}/faults", self.platform.address);
        self.post(&url, faults).await
    }

    /// Switches faults of a server of the plain service.
    pub async fn service_faults(&self, index: usize, faults: &ServiceFaults) -> bool {
        let url = format!("http://{}/standin/faults", self.services[index].address);
        self.post(&url, faults).await
    }

    /// What the engines that run have counted.
    pub async fn engine_counts(&self) -> Vec<EngineCounts> {
        let mut counts = Vec::new();
        for engine in &self.engines {
            let url = format!("http://{}/counts", engine.address);
            counts.push(self.get(&url).await.unwrap_or_default());
        }
        counts
    }

    /// What the servers of the plain service have counted.
    pub async fn service_counts(&self) -> Vec<ServiceCounts> {
        let mut counts = Vec::new();
        for service in &self.services {
            let url = format!("http://{}/standin/counts", service.address);
            counts.push(self.get(&url).await.unwrap_or_default());
        }
        counts
    }

    /// Calls that the platform took.
    pub async fn platform_counts(&self) -> PlatformCounts {
        let url = format!("http://{}/counts", self.platform.address);
        self.get(&url).await.unwrap_or_default()
    }

    /// What the machine has counted for the routers that run, added up.
    pub fn router_usage(&self) -> Usage {
        let mut sum = Usage::default();
        for router in &self.routers {
            let usage = router.process.usage();
            sum.cpu_ms += usage.cpu_ms;
            sum.rss_kb = sum.rss_kb.max(usage.rss_kb);
        }
        sum
    }

    /// The memory that the router in the middle held at most and holds now, in megabytes.
    pub fn router_rss_median_mb(&self) -> (f64, f64) {
        let median = |of: fn(&Usage) -> u64| {
            let usage = self.routers.iter().map(|r| of(&r.process.usage()));
            let mut all: Vec<u64> = usage.collect();
            all.sort_unstable();
            all.get(all.len() / 2).copied().unwrap_or(0) as f64 / 1_024.0
        };
        (median(|u| u.rss_kb), median(|u| u.rss_now_kb))
    }

    /// A count of each router's own status, added up.
    pub async fn status_sum(&self, field: &str) -> u64 {
        let mut sum = 0;
        for router in &self.routers {
            if let Ok(status) = self.operator_at(router).status().await {
                sum += status[field].as_u64().unwrap_or(0);
            }
        }
        sum
    }

    /// Bytes that the routers that run have sent to peers, by their own count.
    pub async fn peer_bytes(&self) -> u64 {
        self.status_sum("peer_bytes_sent").await
    }
}
