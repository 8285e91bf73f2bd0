use lagoon_core::id::{FailureDomain, ProcessId};
use lagoon_core::unit::{Millis, Rate};
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::settings::LeaseSettings;

/// Settings of one scheduler process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerSettings {
    /// Id of the process; unique at any time.
    #[serde(deserialize_with = "text")]
    pub process: ProcessId,
    /// Failure domain of the process.
    #[serde(deserialize_with = "text")]
    pub failure_domain: FailureDomain,
    /// Address for calls from other processes.
    pub listen: Address,
    /// Address for health, readiness and metrics.
    pub health: Address,
    /// Number of shards of the failure domain; the same in all its processes.
    pub shards: u16,
    /// Addresses of other schedulers to contact first.
    #[serde(default)]
    pub peers: Vec<Address>,
    /// Address of the store.
    pub store: Address,
    /// Address of the host list.
    pub host_list: Address,
    /// Durations of worker leases.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Upper bound on the store writes of all shards of this process together.
    #[serde(default = "default_store_writes", deserialize_with = "text")]
    pub store_writes: Rate,
    /// Interval between heartbeats to peers.
    #[serde(default = "default_heartbeat", deserialize_with = "text")]
    pub heartbeat: Millis,
    /// Time without a heartbeat after which a peer is suspected to have failed.
    #[serde(default = "default_suspect_after", deserialize_with = "text")]
    pub suspect_after: Millis,
    /// Longest wait for the store to record that work was accepted.
    #[serde(default = "default_record_timeout", deserialize_with = "text")]
    pub record_timeout: Millis,
    /// Interval between reads of the host list.
    #[serde(default = "default_host_list_interval", deserialize_with = "text")]
    pub host_list_interval: Millis,
    /// Longest wait for requests in flight when a shard is handed over or the process stops.
    #[serde(default = "default_drain_timeout", deserialize_with = "text")]
    pub drain_timeout: Millis,
    /// Minimum uptime of the preferred process, and minimum time of ownership here, before a shard is handed over.
    #[serde(default = "default_hand_over_after", deserialize_with = "text")]
    pub hand_over_after: Millis,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

const fn default_store_writes() -> Rate {
    Rate::per_second(20)
}

const fn default_heartbeat() -> Millis {
    Millis::new(500)
}

const fn default_suspect_after() -> Millis {
    Millis::new(1_500)
}

const fn default_record_timeout() -> Millis {
    Millis::new(2_000)
}

const fn default_host_list_interval() -> Millis {
    Millis::new(1_000)
}

const fn default_drain_timeout() -> Millis {
    Millis::new(30_000)
}

const fn default_hand_over_after() -> Millis {
    Millis::new(30_000)
}

impl Checked for SchedulerSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(self.shards > 0, "shards", "at least 1");
        problems.require(
            self.store_writes > Rate::ZERO,
            "store_writes",
            "more than 0/s",
        );
        problems.require(self.heartbeat.get() >= 10, "heartbeat", "at least 10ms");
        let silent = self.suspect_after > self.heartbeat;
        problems.require(silent, "suspect_after", "more than heartbeat");
        problems.require(
            self.record_timeout > Millis::ZERO,
            "record_timeout",
            "more than 0ms",
        );
        let settled = self.hand_over_after > self.suspect_after;
        problems.require(settled, "hand_over_after", "more than suspect_after");
        let polled = self.host_list_interval.get() >= 10;
        problems.require(polled, "host_list_interval", "at least 10ms");
        problems.check_nested("lease", &self.lease);
    }
}
