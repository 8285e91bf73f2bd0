use std::net::{Ipv4Addr, SocketAddr};

use lagoon_core::id::{PolicyVersion, ProcessId, ShardId};
use lagoon_core::policy::{Policy, ServicePolicy, TeamPolicy, Weight};
use lagoon_core::unit::{Bytes, Millicores, Millis, Rate, Resources};
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::settings::Address;
use lagoon_scheduler::{LeaseSettings, SchedulerSettings};
use lagoon_standin::platform::{PlatformHandle, PlatformSettings};

pub(crate) const DOMAIN: &str = "cluj";
pub(crate) const SERVICE: &str = "planner";
pub(crate) const TEAM: &str = "turf";
pub(crate) const SHARDS: u16 = 4;
/// Workers of the failure domain.
pub(crate) const WORKERS: usize = 16;
/// Resources of each worker.
pub(crate) const WORKER: Resources = Resources::new(Millicores::new(16_000), Bytes::new(32 << 30));

/// Settings of time that differ between tests.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    pub(crate) lease_ttl: Millis,
    pub(crate) task_ttl: Millis,
    /// Interval between heartbeats; a peer is suspected after five intervals.
    pub(crate) heartbeat: Millis,
    pub(crate) hand_over_after: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ttl: Millis::new(1_000),
            task_ttl: Millis::new(60_000),
            heartbeat: Millis::new(100),
            // Longer than any test, so that shards move to their preferred owner only in tests that set it.
            hand_over_after: Millis::new(600_000),
        }
    }
}

pub(crate) fn shard(number: u16) -> ShardId {
    format!("{DOMAIN}:{number}").parse().unwrap()
}

pub(crate) fn process(index: usize) -> ProcessId {
    format!("scheduler-{index}").parse().unwrap()
}

pub(crate) fn platform() -> PlatformSettings {
    PlatformSettings {
        domains: vec![DOMAIN.parse().unwrap()],
        // With fewer workers, some shards would have none.
        workers: WORKERS as u32,
        capacity: WORKER,
        racks: 2,
        executors: 16,
        ..PlatformSettings::default()
    }
}

pub(crate) fn policy() -> Policy {
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: Resources::new(Millicores::new(900_000), Bytes::new(2 << 40)),
        queue_limit: 10_000,
    };
    Policy {
        version: PolicyVersion::new(1),
        teams: [(TEAM.parse().unwrap(), team)].into(),
        services: [(SERVICE.parse().unwrap(), ServicePolicy::default())].into(),
        ..Policy::default()
    }
}

pub(crate) fn scheduler(
    index: usize,
    peers: Vec<SocketAddr>,
    platform: &PlatformHandle,
    timing: Timing,
) -> SchedulerSettings {
    let any_port = Address::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    SchedulerSettings {
        process: process(index),
        failure_domain: DOMAIN.parse().unwrap(),
        listen: any_port,
        health: any_port,
        shards: SHARDS,
        peers: peers.into_iter().map(Address::new).collect(),
        store: Address::new(platform.store.address()),
        host_list: Address::new(platform.hosts.address()),
        lease: LeaseSettings {
            ttl: timing.lease_ttl,
            task_ttl: timing.task_ttl,
            margin: Millis::new(100),
        },
        store_writes: Rate::per_second(100),
        heartbeat: timing.heartbeat,
        suspect_after: Millis::new(5 * timing.heartbeat.get()),
        record_timeout: Millis::new(2_000),
        host_list_interval: Millis::new(100),
        drain_timeout: Millis::new(5_000),
        hand_over_after: timing.hand_over_after,
        log: LogSettings::default(),
        metrics: MetricsSettings::default(),
    }
}
