//! Settings of the processes of a development cluster.

use std::net::{Ipv4Addr, SocketAddr};

use lagoon_admin::{AdminSettings, AuditSettings, OperatorSettings};
use lagoon_core::id::{FailureDomain, PolicyVersion};
use lagoon_core::policy::{Percent, Policy, ServicePolicy, TeamPolicy, Weight};
use lagoon_core::unit::{Bytes, Millicores, Millis, Rate, Resources};
use lagoon_gateway::GatewaySettings;
use lagoon_process::Token;
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::settings::Address;
use lagoon_scheduler::{LeaseSettings, SchedulerSettings};
use lagoon_standin::platform::PlatformSettings;

/// Failure domain of the cluster.
pub(super) const DOMAIN: &str = "cluj";
/// Service that the executors run.
pub(super) const SERVICE: &str = "planner";
/// Team of the sample session.
pub(super) const TEAM: &str = "turf";
/// Number of shards of the failure domain.
const SHARDS: u16 = 4;
/// Limit on the store writes of each scheduler.
const STORE_WRITES: Rate = Rate::per_second(100);

/// Returns a loopback address with port 0, for which the operating system assigns a free port.
fn any_port() -> Address {
    Address::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

fn domain() -> FailureDomain {
    DOMAIN.parse().expect("the name is valid")
}

pub(super) fn platform() -> PlatformSettings {
    PlatformSettings {
        domains: vec![domain()],
        workers: 8,
        racks: 2,
        executors: 8,
        ..PlatformSettings::default()
    }
}

pub(super) fn policy() -> Policy {
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: Resources::new(Millicores::new(200_000), Bytes::new(512 << 30)),
        queue_limit: 10_000,
    };
    Policy {
        version: PolicyVersion::new(1),
        teams: [(TEAM.parse().expect("the name is valid"), team)].into(),
        services: [(
            SERVICE.parse().expect("the name is valid"),
            ServicePolicy::default(),
        )]
        .into(),
        ..Policy::default()
    }
}

pub(super) fn scheduler(
    index: usize,
    peers: Vec<Address>,
    store: SocketAddr,
    host_list: SocketAddr,
) -> SchedulerSettings {
    SchedulerSettings {
        process: format!("scheduler-{index}")
            .parse()
            .expect("the name is valid"),
        failure_domain: domain(),
        listen: any_port(),
        health: any_port(),
        shards: SHARDS,
        peers,
        store: Address::new(store),
        host_list: Address::new(host_list),
        lease: LeaseSettings::default(),
        store_writes: STORE_WRITES,
        heartbeat: Millis::new(100),
        suspect_after: Millis::new(500),
        record_timeout: Millis::new(2_000),
        host_list_interval: Millis::new(200),
        drain_timeout: Millis::new(5_000),
        hand_over_after: Millis::new(5_000),
        log: LogSettings::default(),
        metrics: MetricsSettings::default(),
    }
}

pub(super) fn gateway(index: usize, schedulers: Vec<Address>) -> GatewaySettings {
    GatewaySettings {
        process: format!("gateway-{index}")
            .parse()
            .expect("the name is valid"),
        failure_domain: domain(),
        default_home: Some(domain()),
        shards: SHARDS,
        listen: any_port(),
        schedulers,
        max_body: Bytes::new(1 << 20),
        read_timeout: Millis::new(5_000),
        max_connections: 1_000,
        request_memory: Bytes::new(8 << 20),
        request_timeout: Millis::new(30_000),
        drain_wait: Millis::new(100),
        max_in_flight: 10_000,
        team_in_flight_share: Percent::new(50),
        tokens: None,
        log: LogSettings::default(),
        metrics: MetricsSettings::default(),
    }
}

/// Token of the operator of the sample session.
pub(crate) const OPERATOR_TOKEN: &str = "development-token-of-dana";

pub(super) fn admin(schedulers: Vec<Address>, store: SocketAddr) -> AdminSettings {
    let operator = OperatorSettings {
        operator: "dana".parse().expect("the name is valid"),
        token: Token::new(OPERATOR_TOKEN),
    };
    AdminSettings {
        process: "admin-0".parse().expect("the name is valid"),
        failure_domain: domain(),
        listen: any_port(),
        store: Address::new(store),
        schedulers,
        operators: vec![operator],
        count_limit: 100,
        ask_timeout: Millis::new(1_000),
        max_body: Bytes::new(256 << 10),
        read_timeout: Millis::new(5_000),
        audit: AuditSettings::default(),
        log: LogSettings::default(),
        metrics: MetricsSettings::default(),
    }
}
