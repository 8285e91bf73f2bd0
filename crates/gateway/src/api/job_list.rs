use std::sync::Arc;

use lagoon_core::id::{FailureDomain, ShardId, ShardNumber, TeamId};
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::v1;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::access::Caller;
use crate::api::Api;
use crate::api::job_view::JobView;
use crate::api::list_query::ListQuery;
use crate::forward::{Client, RetryPolicy, Target};

/// Time limit for a list, so that it returns a partial result instead of waiting for a takeover of a shard.
const MAX_LIST_TIMEOUT: Millis = Millis::new(2_000);

/// JSON form of a list of jobs, newest first, merged over the shards of the gateway's failure domain and of the
/// default home, which stores jobs that name no home.
#[derive(Debug, Serialize)]
pub(crate) struct JobList {
    jobs: Vec<JobView>,
    /// Whether jobs were left out because of the limit.
    truncated: bool,
    /// Shards whose jobs are missing because they did not answer.
    incomplete: Vec<ShardId>,
}

impl JobList {
    pub(crate) async fn collect(
        api: &Arc<Api>,
        caller: &Caller,
        query: &ListQuery,
    ) -> Result<Self, Refusal> {
        let mut list = Self {
            jobs: Vec::new(),
            truncated: false,
            incomplete: Vec::new(),
        };
        let mut calls = JoinSet::new();
        for shard in shards_to_list(api) {
            for team in teams_to_list(caller, query) {
                let message = v1::ListJobsRequest {
                    shard: shard.to_string(),
                    team: team.map(|team| team.to_string()).unwrap_or_default(),
                    state: query.state.clone().unwrap_or_default(),
                    limit: query.limit,
                };
                calls.spawn(list_shard(api.clone(), shard.clone(), message));
            }
        }
        while let Some(response) = calls.join_next().await {
            let call_aborted =
                |_| Refusal::new(ResultCode::AnswerLost, "the request to a shard was aborted");
            list.add(response.map_err(call_aborted)?);
        }
        list.finish(query.limit as usize);
        Ok(list)
    }

    fn add(&mut self, (shard, response): (ShardId, Result<v1::ListJobsResponse, Refusal>)) {
        let jobs = response.and_then(|response| {
            self.truncated |= response.truncated;
            let views = response.jobs.into_iter().map(JobView::from_wire);
            views.collect::<Result<Vec<_>, _>>()
        });
        match jobs {
            Ok(jobs) => self.jobs.extend(jobs.into_iter().map(|(view, _)| view)),
            Err(refusal) => {
                tracing::debug!(
                    "gateway: jobs of shard {shard} are missing from the list: {refusal}"
                );
                self.incomplete.push(shard);
            }
        }
    }

    fn finish(&mut self, limit: usize) {
        self.jobs.sort_by(|a, b| {
            let newest = b.accepted_at.cmp(&a.accepted_at);
            newest.then_with(|| a.work.cmp(&b.work))
        });
        self.truncated |= self.jobs.len() > limit;
        self.jobs.truncate(limit);
        self.incomplete.sort();
        self.incomplete.dedup();
    }
}

fn shards_to_list(api: &Api) -> Vec<ShardId> {
    let other = api.home_resolver.default_home.as_ref();
    let other = other.filter(|home| **home != api.domain);
    let numbers = |domain: &FailureDomain| {
        let domain = domain.clone();
        let shard = move |number| ShardId::new(domain.clone(), ShardNumber::new(number));
        (0..api.shards).map(shard)
    };
    std::iter::once(&api.domain)
        .chain(other)
        .flat_map(numbers)
        .collect()
}

/// Returns the teams to list with one request each; `None` lists all teams.
fn teams_to_list(caller: &Caller, query: &ListQuery) -> Vec<Option<TeamId>> {
    match (&query.team, caller.teams()) {
        (Some(team), _) => vec![Some(team.clone())],
        (None, Some(teams)) => teams.iter().cloned().map(Some).collect(),
        (None, None) => vec![None],
    }
}

async fn list_shard(
    api: Arc<Api>,
    shard: ShardId,
    message: v1::ListJobsRequest,
) -> (ShardId, Result<v1::ListJobsResponse, Refusal>) {
    let call = |mut client: Client, _: ShardId| {
        let message = message.clone();
        async move {
            let mut response = client.list_jobs(message).await?.into_inner();
            Ok(response.refusal.take().map_or(Ok(response), Err))
        }
    };
    let timeout = api.request_timeout.min(MAX_LIST_TIMEOUT);
    let target = Target::Shard(shard.clone());
    let response = api
        .forwarder
        .send(&target, RetryPolicy::Idempotent, timeout, call)
        .await;
    (shard, response)
}
