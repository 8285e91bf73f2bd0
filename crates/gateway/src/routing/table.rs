use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use lagoon_core::id::{FailureDomain, PolicyVersion, ShardId};
use lagoon_core::unit::Timestamp;
use lagoon_process::Sharded;
use lagoon_wire::v1;
use tokio::sync::watch;

use crate::routing::route::SUSPECT_AFTER;
use crate::routing::{DomainInfo, Route};

/// Routes of all known shards, and the newest policy version.
#[derive(Debug)]
pub(crate) struct RoutingTable {
    routes: Sharded<ShardId, Route>,
    domains: Sharded<FailureDomain, DomainInfo>,
    policy_version: AtomicU64,
    next_index: AtomicUsize,
    /// Counts route changes; wakes requests that wait for an owner.
    route_changes: watch::Sender<u64>,
}

impl RoutingTable {
    pub(crate) fn new() -> Self {
        Self {
            routes: Sharded::new(),
            domains: Sharded::new(),
            policy_version: AtomicU64::new(0),
            next_index: AtomicUsize::new(0),
            route_changes: watch::Sender::new(0),
        }
    }

    /// Applies the state of a member, reported by the member itself (`from_member`) or relayed by another one.
    pub(crate) fn apply_member(&self, member: &v1::Member, from_member: bool, now: Timestamp) {
        self.policy_version
            .fetch_max(member.policy_version, Ordering::AcqRel);
        if from_member && let Ok(domain) = member.domain.parse::<FailureDomain>() {
            self.update_domain(&domain, |info| info.last_heartbeat = Some(now));
        }
        let mut changed = false;
        for claim in &member.shards {
            let Ok(shard) = claim.shard.parse::<ShardId>() else {
                tracing::warn!(
                    "gateway: {} claims {:?}, which is not a valid shard id; the claim is ignored",
                    member.process,
                    claim.shard
                );
                continue;
            };
            let Ok(owner) = claim.owner_address.parse::<SocketAddr>() else {
                continue;
            };
            let claimed_by_owner = from_member && claim.owner == member.process;
            let route = Route {
                epoch: lagoon_core::id::Epoch::new(claim.epoch),
                owner,
                serving: claim.serving,
                last_claimed: claimed_by_owner.then_some(now),
            };
            changed |= self.merge(shard, route);
        }
        if changed {
            self.route_changes.send_modify(|count| *count += 1);
        }
    }

    fn merge(&self, shard: ShardId, route: Route) -> bool {
        let number = shard.number().get();
        self.update_domain(shard.domain(), |info| {
            info.highest_shard = info.highest_shard.max(Some(number));
        });
        self.routes
            .with(&shard, |routes| match routes.get_mut(&shard) {
                Some(current) => current.merge(&route),
                None => {
                    routes.insert(shard.clone(), route);
                    true
                }
            })
    }

    fn update_domain(&self, domain: &FailureDomain, change: impl FnOnce(&mut DomainInfo)) {
        self.domains
            .with(domain, |domains| match domains.get_mut(domain) {
                Some(info) => change(info),
                None => change(domains.entry(domain.clone()).or_default()),
            });
    }

    /// Returns true if a scheduler of `domain` has answered a heartbeat within [`SUSPECT_AFTER`].
    pub(crate) fn is_reachable(&self, domain: &FailureDomain, now: Timestamp) -> bool {
        let last_heartbeat = self.domain_info(domain).last_heartbeat;
        last_heartbeat.is_some_and(|at| now.since(at) <= SUSPECT_AFTER)
    }

    fn domain_info(&self, domain: &FailureDomain) -> DomainInfo {
        self.domains.with(domain, |domains| {
            domains.get(domain).copied().unwrap_or_default()
        })
    }

    /// Returns the route of a shard.
    pub(crate) fn get(&self, shard: &ShardId) -> Option<Route> {
        self.routes.with(shard, |routes| routes.get(shard).copied())
    }

    /// Returns the served shards of `domain`, sorted.
    pub(crate) fn serving(&self, domain: &FailureDomain, now: Timestamp) -> Vec<ShardId> {
        let mut shards = Vec::new();
        self.routes.for_each_shard(|routes| {
            let serving = routes.iter().filter(|(_, route)| route.is_serving(now));
            let serving = serving.map(|(shard, _)| shard);
            shards.extend(serving.filter(|shard| shard.domain() == domain).cloned());
        });
        shards.sort();
        shards
    }

    /// Returns the next served shard of `domain`, round-robin.
    pub(crate) fn next_serving(&self, domain: &FailureDomain, now: Timestamp) -> Option<ShardId> {
        let shards = self.serving(domain, now);
        let next = self.next_index.fetch_add(1, Ordering::Relaxed);
        shards.get(next.checked_rem(shards.len())?).cloned()
    }

    /// Returns the highest claimed shard number of `domain`.
    pub(crate) fn highest_shard_number(&self, domain: &FailureDomain) -> Option<u16> {
        self.domain_info(domain).highest_shard
    }

    /// Returns the newest policy version.
    pub(crate) fn policy_version(&self) -> PolicyVersion {
        PolicyVersion::new(self.policy_version.load(Ordering::Acquire))
    }

    /// Returns a receiver that is notified of route changes.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.route_changes.subscribe()
    }
}
