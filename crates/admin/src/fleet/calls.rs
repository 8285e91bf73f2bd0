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

use crate::fleet::{Channels, MemberTable, Part, Snapshot, WorkList};
use crate::util::Missing;

/// Largest number of pieces of work in the answer of one shard.
const MAX_WORKS: u32 = 10_000;
/// Largest message; room for the longest list of work.
const MAX_MESSAGE: usize = 32 << 20;

/// Calls to the schedulers; clones share everything.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) members: Arc<MemberTable>,
    pub(crate) channels: Arc<Channels>,
    pub(crate) latest: Arc<Sharded<SocketAddr, Part>>,
    pub(crate) clock: Clock,
    pub(crate) ask_timeout: Millis,
}

impl Fleet {
    /// Drops what is kept about members that nobody mentions any more.
    pub(crate) fn forget_old(&self) {
        for address in self.members.forget_old(self.clock.now()) {
            self.channels.forget(address);
            self.latest.with(&address, |latest| latest.remove(&address));
        }
    }

    /// Asks every scheduler for its shards. Of one that does not answer, the latest answer is shown with its age.
    pub(crate) async fn snapshot(&self) -> Snapshot {
        let mut calls = JoinSet::new();
        for address in self.members.addresses() {
            let this = self.clone();
            calls.spawn(async move { (address, this.describe(address).await) });
        }
        let mut snapshot = Snapshot {
            parts: Vec::new(),
            missing: Vec::new(),
        };
        for (address, answer) in calls.join_all().await {
            match answer {
                Ok(part) => snapshot.parts.push(part),
                Err(refusal) => {
                    let missing = Missing::new(address, refusal.message);
                    snapshot.missing.push(missing);
                    let latest = self
                        .latest
                        .with(&address, |latest| latest.get(&address).cloned());
                    snapshot.parts.extend(latest);
                }
            }
        }
        let key = |part: &Part| (part.answer.process.clone(), part.address);
        snapshot.parts.sort_by_cached_key(key);
        snapshot.missing.sort();
        snapshot
    }

    async fn describe(&self, address: SocketAddr) -> Result<Part, Refusal> {
        let mut client =
            SchedulerClient::new(self.channels.get(address)).max_decoding_message_size(MAX_MESSAGE);
        let answer = self
            .within(client.describe_shards(v1::DescribeShardsRequest {}))
            .await?;
        let part = Part {
            address,
            at: self.clock.now(),
            answer,
            fresh: true,
        };
        let kept = Part {
            fresh: false,
            ..part.clone()
        };
        self.latest
            .with(&address, |latest| latest.insert(address, kept));
        Ok(part)
    }

    /// Lists the live work of every shard whose owner answered.
    pub(crate) async fn works(&self, snapshot: &Snapshot) -> WorkList {
        let mut calls = JoinSet::new();
        for (address, shard) in snapshot.owned() {
            let (this, shard) = (self.clone(), shard.shard.clone());
            calls.spawn(async move {
                let answer = this.list(address, &shard).await;
                (shard, answer)
            });
        }
        let mut list = WorkList::default();
        for (shard, answer) in calls.join_all().await {
            match answer {
                Ok(answer) => {
                    if answer.truncated {
                        let reason = format!("only the first {MAX_WORKS} pieces of work");
                        list.missing.push(Missing::new(shard, reason));
                    }
                    list.works.extend(answer.jobs);
                }
                Err(refusal) => list.missing.push(Missing::new(shard, refusal.message)),
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
        let mut answer = self.within(client.list_jobs(req)).await?;
        refused(answer.refusal.take()).map(|()| answer)
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
        let answer = self.within(client.get_job(req)).await?;
        refused(answer.refusal)?;
        let unknown = || Refusal::new(ResultCode::UnknownWork, format!("{work} is not known"));
        answer.status.ok_or_else(unknown)
    }

    /// Asks the owner of a piece of work for the reason of its state.
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
        let mut answer = self.within(client.explain(req)).await?;
        refused(answer.refusal.take()).map(|()| answer)
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
        let mut answer = self.within(client.apply(req)).await?;
        refused(answer.refusal.take()).map(|()| answer)
    }

    /// Reads the newest policy that a scheduler has in force.
    pub(crate) async fn policy(&self) -> Option<(SocketAddr, String)> {
        let mut calls = JoinSet::new();
        for address in self.members.addresses() {
            let this = self.clone();
            calls.spawn(async move {
                let mut client = PeerClient::new(this.channels.get(address));
                let req = v1::GetPolicyRequest { known_version: 0 };
                let answer = this.within(client.get_policy(req)).await.ok()?;
                Some((answer.version, address, answer.document))
            });
        }
        let answers = calls.join_all().await.into_iter().flatten();
        let newest = answers
            .filter(|(_, _, document)| !document.is_empty())
            .max_by_key(|(version, address, _)| (*version, *address));
        newest.map(|(_, address, document)| (address, document))
    }

    /// Waits for an answer. A call that may have had an effect is refused as not known.
    async fn within<T>(
        &self,
        call: impl Future<Output = Result<Response<T>, Status>>,
    ) -> Result<T, Refusal> {
        match timeout(self.ask_timeout.to_duration(), call).await {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) if is_unreachable(&status) => {
                let text = "the scheduler can't be reached";
                Err(Refusal::new(ResultCode::AnswerLost, text))
            }
            Ok(Err(status)) => {
                let text = format!("the call failed: {}", status.message());
                Err(Refusal::new(ResultCode::AnswerLost, text))
            }
            Err(_) => {
                let text = format!("no answer within {}", self.ask_timeout);
                Err(Refusal::new(ResultCode::AnswerTimeout, text))
            }
        }
    }
}

fn refused(refusal: Option<v1::Refusal>) -> Result<(), Refusal> {
    refusal.map_or(Ok(()), |refusal| Err(refusal_from_wire(&refusal)))
}

/// Tells whether a connection could not be made or broke; a broken one has no code of its own.
fn is_unreachable(status: &Status) -> bool {
    matches!(
        status.code(),
        Code::Unavailable | Code::Unknown | Code::Cancelled
    )
}
