//! Counters, gauges and timers over statsd, for `cloverpierd`.
//!
//! Metrics are best effort: a value that cannot be sent is no fault of the request that it is
//! about, so errors of sending are dropped here, in one place. The router on the platform
//! serves its metrics as text instead (`cloverpier_router`).

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricResult, QueuingMetricSink, StatsdClient, Timed,
};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Every metric's name begins with this.
const PREFIX: &str = "cloverpier";

/// Metrics of one process; without an address they go nowhere.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Metrics that go to a statsd server, or nowhere.
    ///
    /// # Errors
    ///
    /// No socket can be opened to send from.
    pub fn new(statsd: Option<SocketAddr>) -> MetricResult<Self> {
        let client = statsd.map(client).transpose()?;
        Ok(Self {
            client: client.map(Arc::new),
        })
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, by: i64) {
        if let Some(client) = &self.client {
            let _ = client.count(name, by);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        if let Some(client) = &self.client {
            let _ = client.gauge(name, value);
        }
    }

    /// Notes how long something took.
    pub fn time(&self, name: &'static str, took: Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(name, took);
        }
    }
}

fn client(statsd: SocketAddr) -> MetricResult<StatsdClient> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let sink = BufferedUdpMetricSink::from(statsd, socket)?;
    let sink = QueuingMetricSink::from(sink);
    Ok(StatsdClient::from_sink(PREFIX, sink))
}
