use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use lagoon_core::id::{Epoch, FailureDomain, ProcessId, ShardId};
use lagoon_core::membership::{Member, Members, preferred_process};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_wire::convert::parse_field;
use lagoon_wire::v1;

use crate::members::Successor;
use crate::members::parse::parse_member;
use crate::settings::SchedulerSettings;

/// Role of a scheduler in heartbeats.
pub(crate) const SCHEDULER_ROLE: &str = "scheduler";
/// Time without a heartbeat after which a member is removed.
const FORGET_AFTER: Millis = Millis::new(600_000);

/// Members known to this process.
#[derive(Debug)]
pub(crate) struct MemberTable {
    process: ProcessId,
    pub(super) domain: FailureDomain,
    suspect_after: Millis,
    address: OnceLock<String>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) members: Members,
    /// Addresses that get heartbeats, even if no member is known there.
    addresses: BTreeSet<String>,
    /// When this process began to listen. It claims nothing until `suspect_after` has passed since.
    started: Option<Timestamp>,
    leaving: bool,
    /// Peers that are leaving. They keep the shards that they report and get no others.
    leaving_peers: BTreeSet<ProcessId>,
    /// Uptime of each member at its last heartbeat, and the time of the heartbeat.
    uptimes: BTreeMap<ProcessId, (Millis, Timestamp)>,
    /// Shards that this process handed over, with the successor and the time.
    handed_over: BTreeMap<ShardId, (ProcessId, Timestamp)>,
    /// Epochs of the shards that this process owns.
    pub(super) own_epochs: BTreeMap<ShardId, Epoch>,
    /// Owners and epochs of shards, as reported by members.
    claims: BTreeMap<ShardId, v1::ShardClaim>,
}

impl MemberTable {
    pub(crate) fn new(settings: &SchedulerSettings) -> Self {
        let addresses = settings.peers.iter().map(ToString::to_string).collect();
        Self {
            process: settings.process.clone(),
            domain: settings.failure_domain.clone(),
            suspect_after: settings.suspect_after,
            address: OnceLock::new(),
            inner: Mutex::new(Inner {
                members: Members::new(settings.suspect_after),
                addresses,
                started: None,
                leaving: false,
                leaving_peers: BTreeSet::new(),
                uptimes: BTreeMap::new(),
                handed_over: BTreeMap::new(),
                own_epochs: BTreeMap::new(),
                claims: BTreeMap::new(),
            }),
        }
    }

    /// Records the address of this process and the start of its uptime.
    pub(crate) fn start(&self, address: String, now: Timestamp) {
        self.lock().started = Some(now);
        let _ = self.address.set(address);
    }

    pub(crate) fn own_address(&self) -> String {
        self.address.get().cloned().unwrap_or_default()
    }

    /// Records that this process is leaving, so that it claims nothing more.
    pub(crate) fn set_leaving(&self) {
        self.lock().leaving = true;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Adds the address of a peer.
    pub(crate) fn add_address(&self, address: &str) {
        if !address.is_empty() && address != self.own_address() {
            self.lock().addresses.insert(address.to_owned());
        }
    }

    /// Returns the addresses of all other schedulers.
    pub(crate) fn peer_addresses(&self) -> Vec<String> {
        let own = self.own_address();
        let inner = self.lock();
        inner
            .addresses
            .iter()
            .filter(|address| **address != own)
            .cloned()
            .collect()
    }

    /// Returns the time since this process began to listen.
    pub(crate) fn uptime(&self, now: Timestamp) -> Millis {
        let started = self.lock().started;
        started.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Records a heartbeat of a member. Members of other roles are ignored.
    pub(crate) fn on_heartbeat(&self, message: &v1::Member, now: Timestamp) {
        if message.role != SCHEDULER_ROLE || message.process == self.process.as_str() {
            return;
        }
        let Some(member) = parse_member(message) else {
            tracing::warn!(
                "members: heartbeat from {:?} is malformed and was ignored",
                message.process
            );
            return;
        };
        let mut inner = self.lock();
        inner.addresses.insert(member.address.clone());
        inner.record_claims(message);
        match message.leaving {
            true => inner.leaving_peers.insert(member.process.clone()),
            false => inner.leaving_peers.remove(&member.process),
        };
        let uptime = (Millis::new(message.up_ms), now);
        inner.uptimes.insert(member.process.clone(), uptime);
        inner.members.on_heartbeat(member, now);
        inner.members.remove_silent(FORGET_AFTER, now);
    }

    /// Returns the descriptions of live members.
    pub(crate) fn alive(&self, now: Timestamp) -> Vec<v1::Member> {
        let inner = self.lock();
        let alive = inner.members.alive(now);
        alive.map(|member| inner.message(member)).collect()
    }

    /// Returns true if this process should claim a shard: it is the preferred one of the live processes of the failure
    /// domain, and none of the others owns the shard.
    pub(crate) fn should_claim(&self, shard: &ShardId, now: Timestamp) -> bool {
        let inner = self.lock();
        let listened_long_enough = inner
            .started
            .is_some_and(|at| now.since(at) >= self.suspect_after);
        if inner.leaving || !listened_long_enough {
            return false;
        }
        let alive = inner
            .members
            .alive(now)
            .filter(|member| member.domain == self.domain);
        let alive: Vec<&Member> = alive.collect();
        if alive.iter().any(|member| member.shards.contains_key(shard)) {
            return false;
        }
        // After a handover the successor may not have reported the shard in a heartbeat yet.
        let handed_over = inner.handed_over.get(shard).is_some_and(|(to, at)| {
            now.since(*at) < self.suspect_after && alive.iter().any(|peer| peer.process == *to)
        });
        if handed_over {
            return false;
        }
        let processes = alive
            .iter()
            .map(|member| &member.process)
            .filter(|process| !inner.leaving_peers.contains(process))
            .chain([&self.process]);
        preferred_process(shard, processes) == Some(&self.process)
    }

    /// Returns the shards that live peers own.
    pub(crate) fn peer_shards(&self, now: Timestamp) -> BTreeSet<ShardId> {
        let inner = self.lock();
        let alive = inner.members.alive(now);
        alive
            .flat_map(|member| member.shards.keys().cloned())
            .collect()
    }

    /// Returns the last reported owner of a shard, its address and its epoch.
    pub(crate) fn owner(&self, shard: &ShardId) -> Option<(ProcessId, String, Epoch)> {
        let inner = self.lock();
        let (member, epoch) = inner.members.owner(shard)?;
        Some((member.process.clone(), member.address.clone(), epoch))
    }

    /// Records that a peer took a shard over from this process.
    pub(crate) fn record_hand_over(&self, shard: &ShardId, to: &ProcessId, now: Timestamp) {
        let entry = (to.clone(), now);
        self.lock().handed_over.insert(shard.clone(), entry);
    }

    /// Returns the preferred owner of a shard if it is a peer that has been up for `min_uptime`.
    pub(crate) fn preferred_peer(
        &self,
        shard: &ShardId,
        min_uptime: Millis,
        now: Timestamp,
    ) -> Option<Successor> {
        let peers = self.candidates(now);
        let processes = peers.iter().map(|peer| &peer.process);
        let preferred = preferred_process(shard, processes.chain([&self.process]))?.clone();
        let inner = self.lock();
        let has_min_uptime = |(uptime, at): &(Millis, Timestamp)| {
            now >= at.after(min_uptime.saturating_sub(*uptime))
        };
        let eligible = inner.uptimes.get(&preferred).is_some_and(has_min_uptime);
        peers
            .into_iter()
            .find(|peer| eligible && peer.process == preferred)
    }

    /// Returns the peers that may take a shard over, in order of preference.
    pub(crate) fn successors(&self, shard: &ShardId, now: Timestamp) -> Vec<Successor> {
        let mut remaining = self.candidates(now);
        let mut ordered = Vec::with_capacity(remaining.len());
        while let Some(next) = preferred_process(shard, remaining.iter().map(|peer| &peer.process))
        {
            let next = remaining.iter().position(|peer| peer.process == *next);
            ordered.extend(next.map(|next| remaining.remove(next)));
        }
        ordered
    }

    /// Returns the live schedulers of the failure domain that are not leaving.
    fn candidates(&self, now: Timestamp) -> Vec<Successor> {
        let inner = self.lock();
        let peers = inner.members.alive(now).filter(|member| {
            member.domain == self.domain && !inner.leaving_peers.contains(&member.process)
        });
        let successor = |member: &Member| Successor {
            process: member.process.clone(),
            address: member.address.clone(),
        };
        peers.map(successor).collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn record_claims(&mut self, message: &v1::Member) {
        for claim in &message.shards {
            let Ok(shard) = parse_field::<ShardId>("shard", &claim.shard) else {
                continue;
            };
            let newer = self
                .claims
                .get(&shard)
                .is_none_or(|known| known.epoch <= claim.epoch);
            if newer {
                self.claims.insert(shard, claim.clone());
            }
        }
    }

    fn message(&self, member: &Member) -> v1::Member {
        let claims = member.shards.iter().map(|(shard, epoch)| {
            let known = self
                .claims
                .get(shard)
                .filter(|known| known.epoch == epoch.get());
            known.cloned().unwrap_or_else(|| v1::ShardClaim {
                shard: shard.to_string(),
                epoch: epoch.get(),
                owner: member.process.to_string(),
                owner_address: member.address.clone(),
                serving: false,
            })
        });
        v1::Member {
            process: member.process.to_string(),
            role: SCHEDULER_ROLE.to_owned(),
            domain: member.domain.to_string(),
            address: member.address.clone(),
            policy_version: member.policy.get(),
            shards: claims.collect(),
            // Only the member's own heartbeat reports its uptime.
            up_ms: 0,
            leaving: self.leaving_peers.contains(&member.process),
        }
    }
}
