use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use lagoon_core::id::{Epoch, FailureDomain, ProcessId, ShardId};
use lagoon_core::membership::{Member, Members, preferred_process};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_wire::convert::parse_field;
use lagoon_wire::v1;

use crate::settings::SchedulerSettings;

/// Role of a scheduler in heartbeats.
pub(crate) const SCHEDULER_ROLE: &str = "scheduler";
/// Silence after which a member is forgotten.
const FORGET_AFTER: Millis = Millis::new(600_000);

/// Members as this process knows them.
#[derive(Debug)]
pub(crate) struct MemberTable {
    process: ProcessId,
    domain: FailureDomain,
    suspect_after: Millis,
    address: OnceLock<String>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    members: Members,
    /// Addresses that are asked even if no member is known there.
    addresses: BTreeSet<String>,
    /// When this process began to listen; before the first suspicion could arise it claims nothing.
    started: Option<Timestamp>,
    leaving: bool,
    /// Owners and epochs of shards, as members report them.
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
                claims: BTreeMap::new(),
            }),
        }
    }

    /// Sets the address at which this process is reached, once it listens.
    pub(crate) fn start(&self, address: String, now: Timestamp) {
        self.lock().started = Some(now);
        let _ = self.address.set(address);
    }

    pub(crate) fn own_address(&self) -> String {
        self.address.get().cloned().unwrap_or_default()
    }

    /// Notes that this process stops, so that it claims nothing more.
    pub(crate) fn leave(&self) {
        self.lock().leaving = true;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Adds an address to ask.
    pub(crate) fn add_address(&self, address: &str) {
        if !address.is_empty() && address != self.own_address() {
            self.lock().addresses.insert(address.to_owned());
        }
    }

    /// Returns the addresses of all other schedulers.
    pub(crate) fn addresses(&self) -> Vec<String> {
        let own = self.own_address();
        let inner = self.lock();
        inner
            .addresses
            .iter()
            .filter(|address| **address != own)
            .cloned()
            .collect()
    }

    /// Takes what a member says about itself. Members of other roles are not kept.
    pub(crate) fn on_member(&self, message: &v1::Member, now: Timestamp) {
        if message.role != SCHEDULER_ROLE || message.process == self.process.as_str() {
            return;
        }
        let Some(member) = parse_member(message) else {
            tracing::warn!(
                "members: a heartbeat of {:?} can't be read",
                message.process
            );
            return;
        };
        let mut inner = self.lock();
        inner.addresses.insert(member.address.clone());
        inner.note_claims(message);
        inner.members.on_heartbeat(member, now);
        inner.members.forget_silent(FORGET_AFTER, now);
    }

    /// Notes that a member stops.
    pub(crate) fn on_left(&self, message: &v1::Member) {
        if let Ok(process) = parse_field("process", &message.process) {
            self.lock().members.left(&process);
        }
    }

    /// Returns the messages of members that are alive.
    pub(crate) fn alive(&self, now: Timestamp) -> Vec<v1::Member> {
        let inner = self.lock();
        let alive = inner.members.alive(now);
        alive.map(|member| inner.message(member)).collect()
    }

    /// Tells whether this process should claim a shard: it is the preferred one of the processes of the failure domain
    /// that are alive, and none of the others owns the shard.
    pub(crate) fn should_claim(&self, shard: &ShardId, now: Timestamp) -> bool {
        let inner = self.lock();
        let listened = inner
            .started
            .is_some_and(|at| now.since(at) >= self.suspect_after);
        if inner.leaving || !listened {
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
        let processes = alive
            .iter()
            .map(|member| &member.process)
            .chain([&self.process]);
        preferred_process(shard, processes) == Some(&self.process)
    }

    /// Returns the owner of a shard and its address, as last heard.
    pub(crate) fn owner(&self, shard: &ShardId) -> Option<(ProcessId, String, Epoch)> {
        let inner = self.lock();
        let (member, epoch) = inner.members.owner(shard)?;
        Some((member.process.clone(), member.address.clone(), epoch))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn note_claims(&mut self, message: &v1::Member) {
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
        }
    }
}

fn parse_member(message: &v1::Member) -> Option<Member> {
    let shards = message.shards.iter().map(|claim| {
        let shard = parse_field("shard", &claim.shard).ok()?;
        Some((shard, Epoch::new(claim.epoch)))
    });
    Some(Member {
        process: parse_field("process", &message.process).ok()?,
        domain: parse_field("domain", &message.domain).ok()?,
        address: message.address.clone(),
        shards: shards.collect::<Option<_>>()?,
        policy: lagoon_core::id::PolicyVersion::new(message.policy_version),
    })
}
