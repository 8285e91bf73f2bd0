use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use futures_util::future::join_all;
use lagoon_core::id::{Epoch, ShardId, ShardNumber};
use lagoon_core::unit::Timestamp;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{parse_field, refusal_to_wire};
use lagoon_wire::v1;

use crate::cell::ShardCell;
use crate::context::Context;
use crate::drive;
use crate::members::SCHEDULER_ROLE;

/// State of this process: the shared context and a cell for each shard of the failure domain.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) cx: Arc<Context>,
    pub(crate) cells: BTreeMap<ShardId, Arc<ShardCell>>,
}

impl Node {
    pub(crate) fn new(cx: Arc<Context>) -> Arc<Self> {
        let domain = &cx.settings.failure_domain;
        let numbers = 0..cx.settings.shards;
        let ids = numbers.map(|n| ShardId::new(domain.clone(), ShardNumber::new(n)));
        let cells = ids
            .map(|id| (id.clone(), ShardCell::new(id, cx.clone())))
            .collect();
        Arc::new(Self { cells, cx })
    }

    /// Returns the cell of the shard that a message names.
    pub(crate) fn cell(&self, shard: &str) -> Result<&Arc<ShardCell>, Refusal> {
        let shard: ShardId = parse_field("shard", shard)?;
        self.cell_of(&shard)
    }

    /// Returns the cell of a shard.
    pub(crate) fn cell_of(&self, shard: &ShardId) -> Result<&Arc<ShardCell>, Refusal> {
        self.cells.get(shard).ok_or_else(|| {
            let text = format!(
                "shard {shard} does not belong to failure domain {}",
                self.cx.settings.failure_domain
            );
            Refusal::new(ResultCode::NotOwner, text)
        })
    }

    /// Converts a refusal, and adds the address of the owner if the shard has another one.
    pub(crate) fn refusal(&self, refusal: &Refusal, shard: Option<&ShardId>) -> v1::Refusal {
        let mut message = refusal_to_wire(refusal);
        if refusal.code == ResultCode::NotOwner
            && let Some((_, address, _)) = shard.and_then(|shard| self.cx.members.owner(shard))
        {
            message.owner_address = address;
        }
        message
    }

    /// Returns the description of this process for heartbeats.
    pub(crate) fn own_member(&self) -> v1::Member {
        let settings = &self.cx.settings;
        let address = self.cx.members.own_address();
        let claims = self.cells.values().filter_map(|cell| {
            Some(v1::ShardClaim {
                shard: cell.id().to_string(),
                epoch: cell.epoch()?.get(),
                owner: settings.process.to_string(),
                owner_address: address.clone(),
                serving: cell.phase().accepts_work(),
            })
        });
        v1::Member {
            process: settings.process.to_string(),
            role: SCHEDULER_ROLE.to_owned(),
            domain: settings.failure_domain.to_string(),
            policy_version: self.cx.policy.version().get(),
            shards: claims.collect(),
            up_ms: self.cx.members.uptime(self.cx.clock.now()).get(),
            leaving: self.cx.members.is_leaving(),
            address,
        }
    }

    /// Steps down from the shards that a member owns at a higher epoch.
    pub(crate) fn check_claims(&self, member: &v1::Member) {
        for claim in &member.shards {
            let Ok(cell) = self.cell(&claim.shard) else {
                continue;
            };
            let epoch = Epoch::new(claim.epoch);
            if cell.epoch().is_some_and(|own| own < epoch) {
                let id = cell.id();
                tracing::warn!(
                    "shard: stepping down from {id}, which {} owns at the higher epoch {epoch}",
                    member.process
                );
                cell.step_down();
            }
        }
    }

    /// Returns the shards that this process owns, with their epochs.
    pub(crate) fn owned_epochs(&self) -> BTreeMap<ShardId, Epoch> {
        let cells = self.cells.values();
        cells
            .filter_map(|cell| Some((cell.id().clone(), cell.epoch()?)))
            .collect()
    }

    /// Returns the shards of the failure domain that have a live owner, which may be this process.
    pub(crate) fn owned_shards(&self, now: Timestamp) -> BTreeSet<ShardId> {
        let mut owned = self.cx.members.peer_shards(now);
        let own = self.cells.values().filter(|cell| cell.epoch().is_some());
        owned.extend(own.map(|cell| cell.id().clone()));
        owned.retain(|shard| self.cells.contains_key(shard));
        owned
    }

    /// Returns the shards without a live owner. Empty until this process has been up for `suspect_after`, because
    /// before then it may not have heard from all live owners.
    pub(crate) fn ownerless(&self, now: Timestamp) -> BTreeSet<ShardId> {
        let members = &self.cx.members;
        if members.is_leaving() || members.uptime(now) < self.cx.settings.suspect_after {
            return BTreeSet::new();
        }
        let owned = self.owned_shards(now);
        let ownerless = self.cells.keys().filter(|shard| !owned.contains(*shard));
        ownerless.cloned().collect()
    }

    /// Returns why this process is not ready to accept work, or `None` if it is ready.
    pub(crate) fn not_ready_reason(&self) -> Option<String> {
        if self.cx.policy.get().is_none() {
            return Some("no policy has been received".to_owned());
        }
        let ownerless = self
            .cells
            .values()
            .find(|cell| cell.epoch().is_none() && self.cx.members.owner(cell.id()).is_none());
        ownerless.map(|cell| format!("shard {} has no owner", cell.id()))
    }

    /// Releases every shard, to a peer if one takes it over, and waits until the calls in flight are answered.
    pub(crate) async fn drain(&self) {
        let limit = self.cx.settings.drain_timeout;
        join_all(self.cells.values().map(drive::release_ownership)).await;
        let idle = join_all(self.cells.values().map(|cell| cell.wait_idle()));
        if tokio::time::timeout(limit.to_duration(), idle)
            .await
            .is_err()
        {
            tracing::warn!(
                "scheduler: calls are still in flight after {limit}, continuing to stop"
            );
        }
    }
}
