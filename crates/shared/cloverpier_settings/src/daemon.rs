//! The settings of `cloverpierd`; docs/OPERATIONS.md lists the keys.
//!
//! Owns the names, ranges and defaults of the keys. Relies on [`Secret`] to keep secrets out of logs and
//! `Debug` output.

use crate::crashes::CrashSettings;
use crate::reader::{SettingErrors, TableReader, read_log_level};
use cloverpier_core::{DataCentre, Secret, VmName};
use std::net::SocketAddr;
use std::time::Duration;

/// The minimum length of a secret in bytes: 16 random characters of base 64 contain 96 bits.
const MIN_SECRET_LEN: usize = 16;

/// The settings of one `cloverpierd` process.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The name of the VM that the process runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The address on which the process accepts callers' requests.
    pub callers_listen: SocketAddr,
    /// The address on which the process accepts requests of peers and operators.
    pub peers_listen: SocketAddr,
    /// The address at which callers reach the process; defaults to `callers_listen`.
    pub callers_at: SocketAddr,
    /// The address at which peers reach the process; defaults to `peers_listen`.
    pub peers_at: SocketAddr,
    /// The address of the platform, which stores the configuration.
    pub platform: SocketAddr,
    /// Peers from which the process fetches the configuration and the members if the platform is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all peers share, with which they authenticate requests to each other.
    pub peer_secret: Secret,
    /// The key with which operators authenticate their requests.
    pub operator_key: Secret,
    /// The statsd server that metrics are sent to; `None` discards metrics.
    pub statsd: Option<SocketAddr>,
    /// How long callers may cache the list of addresses to send requests to.
    pub addresses_ttl: Duration,
    /// How long the idempotency key of a request that must not run twice is recorded.
    pub record_horizon: Duration,
    /// How long generated tokens are batched before they are copied to a peer.
    pub copy_interval: Duration,
    /// The interval between load queries to each engine. With many engines, the interval is longer.
    pub load_period: Duration,
    /// When requests are blocked because their content crashes upstreams.
    pub crashes: CrashSettings,
    /// The minimum level of log lines: `error`, `warn`, `info` or `debug`.
    pub log_level: String,
}

impl DaemonSettings {
    /// Parses and validates the text of a settings file in TOML.
    ///
    /// # Errors
    ///
    /// Returns [`SettingErrors`] with every missing, invalid or unknown key.
    pub fn parse(text: &str) -> Result<Self, SettingErrors> {
        let mut r = TableReader::parse(text)?;
        let callers_listen = r.address("callers_listen");
        let peers_listen = r.address("peers_listen");
        let settings = Self {
            vm: VmName::new(r.text("vm", "the VM's name")),
            data_centre: DataCentre::new(r.text("data_centre", "the data centre's name")),
            callers_listen,
            peers_listen,
            // Other processes reach this process at its listen addresses unless these keys are set.
            callers_at: r.optional_address("callers_at").unwrap_or(callers_listen),
            peers_at: r.optional_address("peers_at").unwrap_or(peers_listen),
            platform: r.address("platform"),
            seeds: r.addresses("seeds"),
            peer_secret: secret(&mut r, "peer_secret"),
            operator_key: secret(&mut r, "operator_key"),
            statsd: r.optional_address("statsd"),
            addresses_ttl: Duration::from_secs(r.number_or("addresses_ttl_s", 1, 3_600, 20)),
            record_horizon: Duration::from_secs(r.number_or("record_horizon_s", 1, 86_400, 600)),
            copy_interval: Duration::from_millis(r.number_or("copy_interval_ms", 0, 100, 2)),
            load_period: Duration::from_millis(r.number_or("load_period_ms", 50, 60_000, 500)),
            crashes: CrashSettings::read(&mut r),
            log_level: read_log_level(&mut r),
        };
        r.finish()?;
        Ok(settings)
    }
}

fn secret(r: &mut TableReader, key: &str) -> Secret {
    let expected = "a secret of at least 16 characters";
    let text = r.text(key, expected);
    if !text.is_empty() && text.len() < MIN_SECRET_LEN {
        r.record_error(key, expected);
    }
    Secret::new(text)
}
