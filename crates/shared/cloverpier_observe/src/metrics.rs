//! Counters, gauges and timers over statsd, for `cloverpierd`.
//!
//! Metrics are best effort: errors of sending are ignored in this module, so that a request never fails
//! because of its metrics. The router on the platform serves its metrics as text instead
//! (`cloverpier_router`).

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricResult, QueuingMetricSink, StatsdClient, Timed,
};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// The prefix of every metric's name.
const PREFIX: &str = "cloverpier";

/// The statsd client of one process; the default value discards all metrics.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Creates metrics that are sent to the statsd server at this address; `None` discards them.
    ///
    /// # Errors
    ///
    /// Returns an error if no local UDP socket can be opened.
    pub fn new(statsd: Option<SocketAddr>) -> MetricResult<Self> {
        let client = statsd.map(client).transpose()?;
        Ok(Self {
            client: client.map(Arc::new),
        })
    }

    /// Adds `by` to the counter `name`.
    pub fn count(&self, name: &'static str, by: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, by);
        }
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &'static str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Records the duration of an operation under `name`.
    pub fn time(&self, name: &'static str, duration: Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(name, duration);
        }
    }
}

fn client(statsd: SocketAddr) -> MetricResult<StatsdClient> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let sink = BufferedUdpMetricSink::from(statsd, socket)?;
    let sink = QueuingMetricSink::from(sink);
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
