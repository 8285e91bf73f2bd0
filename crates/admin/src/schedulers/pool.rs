use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::id::WorkId;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::Clock;
use lagoon_process::Sharded;
use lagoon_wire::convert::refusal_from_wire;
use lagoon_wire::v1;
use lagoon_wire::v1::operator_client::OperatorClient;
use lagoon_wire::v1::peer_client::PeerClient;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tonic::{Code, Response, Status};

use crate::schedulers::{Channels, MemberTable, SchedulerReport, Snapshot, WorkList};
use crate::util::MissingSource;

/// Maximum number of pieces of work listed for one shard.
const MAX_WORKS: u32 = 10_000;
/// Maximum message size in bytes; fits a list of `MAX_WORKS`.
const MAX_MESSAGE: usize = 32 << 20;

/// Client for calls to all known schedulers. Clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct SchedulerPool {
    pub(crate) members: Arc<MemberTable>,
    pub(crate) channels: Arc<Channels>,
    pub(crate) last_reports: Arc<Sharded<SocketAddr, SchedulerReport>>,
    pub(crate) clock: Clock,
    pub(crate) ask_timeout: Millis,
}

impl SchedulerPool {
    /// Removes members that have not been seen recently, with their connections and last reports.
    pub(crate) fn remove_stale(&self) {
        for address in self.members.remove_stale(self.clock.now()) {
            self.channels.remove(address);
            self.last_reports
                .with(&address, |reports| reports.remove(&address));
        }
    }

    /// Requests the shards of every scheduler. For one that does not respond, its last report is used.
    pub(crate) async fn snapshot(&self) -> Snapshot {
        let mut calls = JoinSet::new();
        for address in self.members.addresses() {
            let this = self.clone();
            calls.spawn(async move { (address, this.describe_shards(address).await) });
        }
        let mut snapshot = Snapshot {
            reports: Vec::new(),
            missing: Vec::new(),
        };
        for (address, response) in calls.join_all().await {
            match response {
                Ok(report) => snapshot.reports.push(report),
                Err(refusal) => {
                    let missing = MissingSource::new(address, refusal.message);
                    snapshot.missing.push(missing);
                    let last_report = self
                        .last_reports
                        .with(&address, |reports| reports.get(&address).cloned());
                    snapshot.reports.extend(last_report);
                }
            }
        }
        let key = |report: &SchedulerReport| (report.response.process.clone(), report.address);
        snapshot.reports.sort_by_cached_key(key);
        snapshot.missing.sort();
        snapshot
    }

    async fn describe_shards(&self, address: SocketAddr) -> Result<SchedulerReport, Refusal> {
        let mut client =
            SchedulerClient::new(self.channels.get(address)).max_decoding_message_size(MAX_MESSAGE);
        let response = self
            .call_with_timeout(client.describe_shards(v1::DescribeShardsRequest {}))
            .await?;
        let report = SchedulerReport {
            address,
            received_at: self.clock.now(),
            response,
            fresh: true,
        };
        let cached = SchedulerReport {
            fresh: false,
            ..report.clone()
        };
        self.last_reports
            .with(&address, |reports| reports.insert(address, cached));
        Ok(report)
    }

    /// Lists the live work of every shard whose owner responds.
    pub(crate) async fn works(&self, snapshot: &Snapshot) -> WorkList {
        let mut calls = JoinSet::new();
        for (address, shard) in snapshot.owned() {
            let (this, shard) = (self.clone(), shard.shard.clone());
            calls.spawn(async move {
                let response = this.list(address, &shard).await;
                (shard, response)
            });
        }
        let mut list = WorkList::default();
        for (shard, response) in calls.join_all().await {
            match response {
                Ok(response) => {
                    if response.truncated {
                        let reason =
                            format!("only the first {MAX_WORKS} pieces of work are listed");
                        list.missing.push(MissingSource::new(shard, reason));
                    }
                    list.works.extend(response.jobs);
                }
                Err(refusal) => list
                    .missing
                    .push(MissingSource::new(shard, refusal.message)),
            }
        }
        list.works
            .sort_by_cached_key(|work| work.work.parse::<WorkId>().ok());
        list.missing.sort();
        list
    }

    async fn list(
        &self,
        address: SocketAddr,
        shard: &str,
    ) -> Result<v1::ListJobsResponse, Refusal> {
        let mut client =
            SchedulerClient::new(self.channels.get(address)).max_decoding_message_size(MAX_MESSAGE);
        let req = v1::ListJobsRequest {
            shard: shard.to_owned(),
            limit: MAX_WORKS,
            ..Default::default()
        };
        let mut response = self.call_with_timeout(client.list_jobs(req)).await?;
        check_refusal(response.refusal.take()).map(|()| response)
    }

    /// Reads one piece of work from its owner.
    pub(crate) async fn work(
        &self,
        snapshot: &Snapshot,
        work: &WorkId,
    ) -> Result<v1::WorkStatus, Refusal> {
        let (address, _) = snapshot.owner(work.shard())?;
        let mut client = SchedulerClient::new(self.channels.get(address));
        let req = v1::GetJobRequest {
            work: work.to_string(),
        };
        let response = self.call_with_timeout(client.get_job(req)).await?;
        check_refusal(response.refusal)?;
        let unknown = || Refusal::new(ResultCode::UnknownWork, format!("{work} is not known"));
        response.status.ok_or_else(unknown)
    }

    /// Requests the reason for the state of a piece of work from its owner.
    pub(crate) async fn explain(
        &self,
        snapshot: &Snapshot,
        work: &WorkId,
    ) -> Result<v1::ExplainResponse, Refusal> {
        let (address, _) = snapshot.owner(work.shard())?;
        let mut client = OperatorClient::new(self.channels.get(address));
        let req = v1::ExplainRequest {
            work: work.to_string(),
        };
        let mut response = self.call_with_timeout(client.explain(req)).await?;
        check_refusal(response.refusal.take()).map(|()| response)
    }

    /// Sends a change to the owner of a shard.
    pub(crate) async fn apply(
        &self,
        address: SocketAddr,
        req: v1::ApplyRequest,
    ) -> Result<v1::ApplyResponse, Refusal> {
        let mut client = OperatorClient::new(self.channels.get(address))
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE);
        let mut response = self.call_with_timeout(client.apply(req)).await?;
        check_refusal(response.refusal.take()).map(|()| response)
    }

    /// Returns the newest policy document in force on any scheduler, with the scheduler's address.
    pub(crate) async fn policy(&self) -> Option<(SocketAddr, String)> {
        let mut calls = JoinSet::new();
        for address in self.members.addresses() {
            let this = self.clone();
            calls.spawn(async move {
                let mut client = PeerClient::new(this.channels.get(address));
                let req = v1::GetPolicyRequest { known_version: 0 };
                let response = this.call_with_timeout(client.get_policy(req)).await.ok()?;
                Some((response.version, address, response.document))
            });
        }
        let responses = calls.join_all().await.into_iter().flatten();
        let newest = responses
            .filter(|(_, _, document)| !document.is_empty())
            .max_by_key(|(version, address, _)| (*version, *address));
        newest.map(|(_, address, document)| (address, document))
    }

    /// Waits for a response. Every failure has a code of class `not_known`, because the call may have had an effect.
    async fn call_with_timeout<T>(
        &self,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Refusal> {
        match timeout(self.ask_timeout.to_duration(), call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) if is_unreachable(&status) => {
                let text = "the scheduler can't be reached";
                Err(Refusal::new(ResultCode::AnswerLost, text))
            }
            Ok(Err(status)) => {
                let text = format!("the call failed: {}", status.message());
                Err(Refusal::new(ResultCode::AnswerLost, text))
            }
            Err(_) => {
                let text = format!("no response within {}", self.ask_timeout);
                Err(Refusal::new(ResultCode::AnswerTimeout, text))
            }
        }
    }
}

fn check_refusal(refusal: Option<v1::Refusal>) -> Result<(), Refusal> {
    refusal.map_or(Ok(()), |refusal| Err(refusal_from_wire(&refusal)))
}

/// Returns true if the connection could not be opened or broke. tonic has no separate code for a broken connection.
fn is_unreachable(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::Unknown | Code::Cancelled
    )
}
