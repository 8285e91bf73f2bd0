use std::net::SocketAddr;

use lagoon_core::id::{FailureDomain, ShardId};
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::v1;

use crate::fleet::Part;
use crate::util::Missing;

/// What all schedulers said about their shards.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) parts: Vec<Part>,
    pub(crate) missing: Vec<Missing>,
}

impl Snapshot {
    /// Returns every shard with the part that it is from. Of two descriptions of a shard the one with the higher epoch
    /// counts, because the other one is from before a takeover.
    pub(crate) fn shards(&self) -> Vec<(&Part, &v1::ShardStatus)> {
        let all = self.parts.iter();
        let all = all.flat_map(|part| part.answer.shards.iter().map(move |shard| (part, shard)));
        let mut all: Vec<(&Part, &v1::ShardStatus)> = all.collect();
        let rank = |(part, shard): &(&Part, &v1::ShardStatus)| (shard.epoch, part.fresh);
        all.sort_by(|a, b| (&a.1.shard, rank(b)).cmp(&(&b.1.shard, rank(a))));
        all.dedup_by(|a, b| a.1.shard == b.1.shard);
        all
    }

    /// Returns the shards whose owners answered this time.
    pub(crate) fn owned(&self) -> Vec<(SocketAddr, &v1::ShardStatus)> {
        let shards = self.shards().into_iter();
        let fresh = shards.filter(|(part, _)| part.fresh);
        fresh.map(|(part, shard)| (part.address, shard)).collect()
    }

    /// Finds the owner of a shard.
    ///
    /// # Errors
    ///
    /// `domain_unreachable` when no scheduler that answered owns it.
    pub(crate) fn owner(&self, shard: &ShardId) -> Result<(SocketAddr, &v1::ShardStatus), Refusal> {
        let name = shard.to_string();
        let owned = self.owned().into_iter();
        let mut found = owned.filter(|(_, status)| status.shard == name);
        found.next().ok_or_else(|| {
            let text = format!("no scheduler that answered owns shard {shard}");
            Refusal::new(ResultCode::DomainUnreachable, text)
        })
    }

    /// Returns every worker with its shard.
    pub(crate) fn workers(&self) -> impl Iterator<Item = (&v1::ShardStatus, &v1::WorkerStatus)> {
        let shards = self.shards().into_iter();
        shards.flat_map(|(_, shard)| shard.workers.iter().map(move |worker| (shard, worker)))
    }
}

/// Returns the failure domain in the name of a shard, empty if it is no such name.
pub(crate) fn domain_of(shard: &str) -> String {
    let shard: Option<ShardId> = shard.parse().ok();
    let domain = shard.as_ref().map(ShardId::domain);
    domain.map(FailureDomain::to_string).unwrap_or_default()
}
