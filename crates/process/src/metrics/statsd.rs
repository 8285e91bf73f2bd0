use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Weak;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{StatsdClient, UdpMetricSink};
use tokio::time::MissedTickBehavior;

use crate::RunError;
use crate::metrics::counters::Counters;
use crate::settings::Address;

const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the counters and gauges of a process to statsd.
#[derive(Debug)]
pub(crate) struct Statsd {
    client: StatsdClient,
    last_sent: BTreeMap<&'static str, u64>,
}

impl Statsd {
    pub(crate) fn open(address: Address, prefix: &str) -> Result<Self, RunError> {
        let failed = |e| RunError::new(format!("process: can't send metrics to {address}"), e);
        let local = if address.get().is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local).map_err(failed)?;
        socket.set_nonblocking(true).map_err(failed)?;
        let sink = UdpMetricSink::from(address.get(), socket)
            .map_err(|e| RunError::new("process: can't open the statsd sink", e))?;
        Ok(Self {
            client: StatsdClient::from_sink(prefix, sink),
            last_sent: BTreeMap::new(),
        })
    }

    /// Sends gauges and the increments of counters once a second until the metrics of the process are dropped.
    pub(crate) async fn run(mut self, counters: Weak<Counters>) {
        let mut ticks = tokio::time::interval(SEND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            let Some(counters) = counters.upgrade() else {
                return;
            };
            self.send(&counters);
        }
    }

    fn send(&mut self, counters: &Counters) {
        for (name, (amount, is_gauge)) in counters.collect() {
            let previous = self.last_sent.insert(name, amount).unwrap_or(0);
            // Delivery is best effort: a datagram that can't be sent is dropped.
            let _ = match is_gauge {
                true => self.client.gauge(name, amount).map(drop),
                false if amount > previous => self.client.count(name, amount - previous).map(drop),
                false => Ok(()),
            };
        }
    }
}
