//! What a change of the configuration costs, and how long it takes to reach the last router.
//!
//! The codec's part is measured on this machine's clock; the spread over a fleet runs in
//! simulated time ([`crate::version_spread`]), with links and processors as on the narrowest
//! of the users' VMs.

use crate::report::Figures;
use crate::version_spread::{Spread, SpreadSpec};
use bytes::Bytes;
use cloverpier_core::ServiceName;
use cloverpier_router::peer_messages::{compress, decode, decompress, encode};
use cloverpier_router_policy::prelude::*;
use serde_json::{Value, json};
use std::io;
use std::time::{Duration, Instant};

/// The narrowest of the users' VMs.
const LINK_MBPS: f64 = 10.0;
/// As above.
const PROCESSOR_SHARE: f64 = 0.12;
/// Times that each step of the codec is measured; the median counts.
const REPEATS: usize = 21;
/// How far behind the first change the second one comes: 2.3 s in the record of an incident.
const SECOND_CHANGE: Duration = Duration::from_millis(2_300);

/// Measures the codec for three sizes of the configuration, and the spread over three fleets.
///
/// # Errors
///
/// A message could not be written or read.
pub fn run(seed: u64) -> io::Result<Figures> {
    let mut codec = Vec::new();
    let mut spread = Vec::new();
    for routes in [40, 1_400, 14_000] {
        let costs = codec_costs(routes)?;
        for routers in [8, 72, 300] {
            spread.push(spread_row(routers, routes, &costs, seed));
        }
        codec.push(costs.row(routes));
    }
    let mut figures = Figures::default();
    figures.count("codec", codec);
    figures.count("spread", spread);
    Ok(figures)
}

/// What one configuration costs.
struct CodecCosts {
    plain_bytes: usize,
    compressed_bytes: usize,
    write: Duration,
    read: Duration,
}

impl CodecCosts {
    fn row(&self, routes: usize) -> Value {
        let on_vm = |time: Duration| time.as_secs_f64() * 1e3 / PROCESSOR_SHARE;
        json!({
            "routes": routes,
            "plain_bytes": self.plain_bytes,
            "compressed_bytes": self.compressed_bytes,
            "write_ms_on_vm": on_vm(self.write),
            "read_ms_on_vm": on_vm(self.read),
        })
    }
}

fn codec_costs(routes: usize) -> io::Result<CodecCosts> {
    let configuration = configuration(routes);
    let plain = encode(&configuration).map_err(io::Error::other)?;
    let compressed = compress(&plain).map_err(io::Error::other)?;
    let write = median_time(|| {
        let written = encode(&configuration).and_then(|plain| compress(&plain));
        written.map_err(io::Error::other)
    })?;
    let read = median_time(|| read_copy(&compressed))?;
    Ok(CodecCosts {
        plain_bytes: plain.len(),
        compressed_bytes: compressed.len(),
        write,
        read,
    })
}

fn read_copy(compressed: &Bytes) -> io::Result<ConfigurationIndex> {
    let plain = decompress(compressed).map_err(io::Error::other)?;
    let configuration = decode(&plain).map_err(io::Error::other)?;
    Ok(ConfigurationIndex::new(configuration))
}

fn median_time<T>(mut work: impl FnMut() -> io::Result<T>) -> io::Result<Duration> {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let began = Instant::now();
        let made = work()?;
        times.push(began.elapsed());
        drop(made);
    }
    times.sort_unstable();
    Ok(times[REPEATS / 2])
}

fn spread_row(routers: usize, routes: usize, costs: &CodecCosts, seed: u64) -> Value {
    let spec = SpreadSpec {
        routers,
        copy_bytes: costs.compressed_bytes,
        link_mbps: LINK_MBPS,
        read_time: costs.read.div_f64(PROCESSOR_SHARE),
        seed,
    };
    let outcome = Spread::new(spec).run(&[Duration::ZERO, SECOND_CHANGE]);
    json!({
        "routers": routers,
        "routes": routes,
        "last_in_force_ms": outcome.last_in_force.iter().map(|d| d.as_millis() as u64).collect::<Vec<_>>(),
        "most_copies_of_one_source": outcome.most_copies,
        "median_copies_of_a_router": outcome.median_copies,
        "bytes_in_all": outcome.bytes,
        "refusals": outcome.refusals,
    })
}

/// A configuration of routes with names as random as the users'.
pub fn configuration(routes: usize) -> Configuration {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut word = || -> String { (0..7).map(|_| rng.lowercase()).collect() };
    let routes = (0..routes).map(|_| Route {
        name: format!("r-{}", word()),
        host: "ficu95.example".to_owned(),
        prefix: format!("/{}/", word()),
        streaming: true,
        resumable: true,
        safe: false,
        timeout: Duration::from_secs(25),
        objective: Duration::from_millis(4_500),
        gap_objective: Some(Duration::from_millis(700)),
        priority: 1,
        max_attempts: 5,
        public: false,
        targets: vec![RouteTarget {
            service: ServiceName::new("drafts"),
            weight: 1.0,
        }],
    });
    Configuration {
        version: 1,
        routes: routes.collect(),
        ..Configuration::default()
    }
}
