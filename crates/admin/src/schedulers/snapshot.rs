use std::net::SocketAddr;

use lagoon_core::id::{FailureDomain, ShardId};
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::v1;

use crate::schedulers::SchedulerReport;
use crate::util::MissingSource;

/// Reports of all schedulers about their shards.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) reports: Vec<SchedulerReport>,
    pub(crate) missing: Vec<MissingSource>,
}

impl Snapshot {
    /// Returns every shard with the report that describes it. If two reports describe a shard, the one with the higher
    /// epoch is used, because the other is from before a takeover.
    pub(crate) fn shards(&self) -> Vec<(&SchedulerReport, &v1::ShardStatus)> {
        let all = self.reports.iter();
        let all = all.flat_map(|report| {
            report
                .response
                .shards
                .iter()
                .map(move |shard| (report, shard))
        });
        let mut all: Vec<(&SchedulerReport, &v1::ShardStatus)> = all.collect();
        let rank =
            |(report, shard): &(&SchedulerReport, &v1::ShardStatus)| (shard.epoch, report.fresh);
        all.sort_by(|a, b| (&a.1.shard, rank(b)).cmp(&(&b.1.shard, rank(a))));
        all.dedup_by(|a, b| a.1.shard == b.1.shard);
        all
    }

    /// Returns the shards whose owners responded, with the owner's address.
    pub(crate) fn owned(&self) -> Vec<(SocketAddr, &v1::ShardStatus)> {
        let shards = self.shards().into_iter();
        let fresh = shards.filter(|(report, _)| report.fresh);
        fresh
            .map(|(report, shard)| (report.address, shard))
            .collect()
    }

    /// Returns the owner of a shard and the shard's status.
    ///
    /// # Errors
    ///
    /// Returns `domain_unreachable` if no scheduler that responded owns the shard.
    pub(crate) fn owner(&self, shard: &ShardId) -> Result<(SocketAddr, &v1::ShardStatus), Refusal> {
        let name = shard.to_string();
        let owned = self.owned().into_iter();
        let mut found = owned.filter(|(_, status)| status.shard == name);
        found.next().ok_or_else(|| {
            let text = format!("no reachable scheduler owns shard {shard}");
            Refusal::new(ResultCode::DomainUnreachable, text)
        })
    }

    /// Returns every worker with its shard.
    pub(crate) fn workers(&self) -> impl Iterator<Item = (&v1::ShardStatus, &v1::WorkerStatus)> {
        let shards = self.shards().into_iter();
        shards.flat_map(|(_, shard)| shard.workers.iter().map(move |worker| (shard, worker)))
    }
}

/// Returns the failure domain of a shard name, or an empty string if the name is invalid.
pub(crate) fn domain_of(shard: &str) -> String {
    let shard: Option<ShardId> = shard.parse().ok();
    let domain = shard.as_ref().map(ShardId::domain);
    domain.map(FailureDomain::to_string).unwrap_or_default()
}
