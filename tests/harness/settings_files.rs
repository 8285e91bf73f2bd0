//! Settings files of the daemons.

use std::net::SocketAddr;

use lagoon_platform::Endpoint;

use crate::harness::ClusterPlan;

/// Returns the settings of a scheduler. Leases are shorter than by default, so that tests can outlast them.
pub(crate) fn scheduler(
    plan: &ClusterPlan,
    name: &str,
    domain: &str,
    listen: SocketAddr,
    health: SocketAddr,
    peers: &[SocketAddr],
    (store, host_list): (&Endpoint, &Endpoint),
) -> String {
    let (shards, task_ttl) = (plan.shards, plan.task_ttl_ms);
    let peers = yaml_list(peers);
    let timing = match plan.default_times {
        true => String::new(),
        false => format!(
            "lease:
  ttl: 1000ms
  task_ttl: {task_ttl}ms
  margin: 100ms
heartbeat: 100ms
suspect_after: 800ms
record_timeout: 2000ms
host_list_interval: 500ms
"
        ),
    };
    format!(
        "process: {name}
failure_domain: {domain}
listen: {listen}
health: {health}
shards: {shards}
peers: [{peers}]
store: {store}
host_list: {host_list}
store_writes: 100/s
{timing}drain_timeout: 20000ms
log:
  level: info
"
    )
}

/// Returns the settings of a gateway.
pub(crate) fn gateway(
    plan: &ClusterPlan,
    name: &str,
    domain: &str,
    listen: SocketAddr,
    schedulers: &[SocketAddr],
) -> String {
    let shards = plan.shards;
    let schedulers = yaml_list(schedulers);
    format!(
        "process: {name}
failure_domain: {domain}
shards: {shards}
listen: {listen}
schedulers: [{schedulers}]
request_timeout: 30000ms
drain_wait: 200ms
"
    )
}

fn yaml_list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    quoted.join(", ")
}
