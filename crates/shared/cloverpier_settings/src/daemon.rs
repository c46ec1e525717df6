//! The settings of `cloverpierd`; docs/OPERATIONS.md lists its keys.
//!
//! Secrets have at least sixteen characters, and neither log nor debug output shows them.

use crate::crashes::CrashSettings;
use crate::reader::{Reader, SettingFaults, level};
use cloverpier_core::{DataCentre, Secret, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// Characters of a secret at least: 16 random ones are 96 bits in base 64.
const MIN_SECRET: usize = 16;

/// The settings of `cloverpierd`.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The VM's name.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers are listened to.
    pub callers_listen: SocketAddr,
    /// Where peers and operators are listened to.
    pub peers_listen: SocketAddr,
    /// Where callers reach the VM; the listening address if not set.
    pub callers_at: SocketAddr,
    /// Where peers reach the VM; the listening address if not set.
    pub peers_at: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Peers to ask while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// The secret that peers share.
    pub peer_secret: Secret,
    /// The key that operators present.
    pub operator_key: Secret,
    /// A statsd server for metrics.
    pub statsd: Option<SocketAddr>,
    /// How long callers keep the answer which addresses to use.
    pub addresses_ttl: Duration,
    /// How long a key that may not be repeated is remembered.
    pub record_horizon: Duration,
    /// How long copies of tokens are collected before they are sent to a peer.
    pub copy_interval: Duration,
    /// How often each upstream is asked for its load.
    pub load_period: Duration,
    /// Which requests are sent to no further upstream, by the upstreams that they ended.
    pub crashes: CrashSettings,
    /// `error`, `warn`, `info` or `debug`.
    pub log_level: String,
}

impl DaemonSettings {
    /// Reads settings from TOML.
    ///
    /// # Errors
    ///
    /// [`SettingFaults`] lists every key that can't stand, unknown ones too.
    pub fn parse(text: &str) -> Result<Self, SettingFaults> {
        let mut r = Reader::parse(text)?;
        let callers_listen = r.address("callers_listen");
        let peers_listen = r.address("peers_listen");
        let settings = Self {
            vm: VmName::new(r.text("vm", "the VM's name")),
            data_centre: DataCentre::new(r.text("data_centre", "the data centre's name")),
            callers_listen,
            peers_listen,
            // Where others reach this process, if not where it listens.
            callers_at: r.address_or("callers_at").unwrap_or(callers_listen),
            peers_at: r.address_or("peers_at").unwrap_or(peers_listen),
            platform: r.address("platform"),
            seeds: r.addresses("seeds"),
            peer_secret: secret(&mut r, "peer_secret"),
            operator_key: secret(&mut r, "operator_key"),
            statsd: r.address_or("statsd"),
            addresses_ttl: Duration::from_secs(r.number_or("addresses_ttl_s", 1, 3_600, 20)),
            record_horizon: Duration::from_secs(r.number_or("record_horizon_s", 1, 86_400, 600)),
            copy_interval: Duration::from_millis(r.number_or("copy_interval_ms", 0, 100, 2)),
            load_period: Duration::from_millis(r.number_or("load_period_ms", 50, 60_000, 500)),
            crashes: CrashSettings::read(&mut r),
            log_level: level(&mut r),
        };
        r.finish()?;
        Ok(settings)
    }
}

fn secret(r: &mut Reader, key: &str) -> Secret {
    let expected = "a secret of at least 16 characters";
    let text = r.text(key, expected);
    if !text.is_empty() && text.len() < MIN_SECRET {
        r.fault(key, expected);
    }
    Secret::new(text)
}
