use std::net::SocketAddr;

use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};
use lagoon_core::work::{Repeatability, WorkKind, WorkSpec};
use lagoon_wire::convert::{refusal_from_wire, spec_to_wire};
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;
use lagoon_wire::v1::operator_client::OperatorClient;
use lagoon_wire::v1::outcome::Kind;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use tonic::transport::{Channel, Endpoint};

use super::settings::{SERVICE, TEAM, WORKER, shard};

/// Calls to one scheduler, as made by a gateway and by the admin process.
#[derive(Clone)]
pub(crate) struct Calls {
    channel: Channel,
}

impl Calls {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
        let channel = endpoint.connect_lazy();
        Self { channel }
    }

    fn scheduler(&self) -> SchedulerClient<Channel> {
        SchedulerClient::new(self.channel.clone())
    }

    pub(crate) async fn shards(&self) -> Vec<v1::ShardStatus> {
        let mut client = self.scheduler();
        let response = client.describe_shards(v1::DescribeShardsRequest {});
        response
            .await
            .map(|response| response.into_inner().shards)
            .unwrap_or_default()
    }

    pub(crate) async fn tickets(&self, number: u16, count: u32) -> Vec<String> {
        let shard = shard(number).to_string();
        let mut client = self.scheduler();
        let response = client.issue_tickets(v1::IssueTicketsRequest { shard, count });
        let response = response.await.unwrap().into_inner();
        assert_eq!(response.refusal, None);
        response.tickets
    }

    /// Runs a request. Returns its output, the name of the refusal, or `lost` if the call failed.
    pub(crate) async fn run(&self, number: u16, ticket: &str, payload: &str) -> String {
        let spec = spec(WorkKind::Service, payload);
        let req = v1::RunRequestRequest {
            shard: shard(number).to_string(),
            ticket: ticket.to_owned(),
            key: String::new(),
            spec: Some(spec_to_wire(&spec)),
        };
        let Ok(response) = self.scheduler().run_request(req).await else {
            return "lost".to_owned();
        };
        match response
            .into_inner()
            .outcome
            .and_then(|outcome| outcome.kind)
        {
            Some(Kind::Succeeded(text) | Kind::Failed(text)) => text,
            Some(Kind::Refused(refusal)) => code_name(&refusal),
            None => "nothing".to_owned(),
        }
    }

    /// Submits a batch run and returns its id.
    pub(crate) async fn submit(&self, number: u16, key: &str, run_time: Millis) -> String {
        let mut job = spec(WorkKind::Batch, "echo:job");
        job.run_time = run_time;
        self.submit_job(number, key, job).await
    }

    /// Submits a gang job whose tasks each need a whole worker, and returns its id.
    pub(crate) async fn submit_gang(
        &self,
        number: u16,
        key: &str,
        tasks: usize,
        run_time: Millis,
    ) -> String {
        let mut job = spec(WorkKind::Gang, "echo:job");
        job.task_count = u32::try_from(tasks).unwrap();
        job.resources = WORKER;
        job.run_time = run_time;
        self.submit_job(number, key, job).await
    }

    async fn submit_job(&self, number: u16, key: &str, job: WorkSpec) -> String {
        let req = v1::SubmitJobRequest {
            shard: shard(number).to_string(),
            key: key.to_owned(),
            spec: Some(spec_to_wire(&job)),
        };
        let response = self.scheduler().submit_job(req).await.unwrap().into_inner();
        assert_eq!(response.refusal, None);
        response.status.unwrap().work
    }

    /// Returns the state of a job, or an empty string if this process does not know the job.
    pub(crate) async fn state(&self, work: &str) -> String {
        let status = self.status(work).await;
        status.map(|status| status.state).unwrap_or_default()
    }

    /// Returns the output of a job that ended, or the name of the refusal.
    pub(crate) async fn output(&self, work: &str) -> Option<String> {
        let status = self.status(work).await?;
        match status.outcome?.kind? {
            Kind::Succeeded(text) | Kind::Failed(text) => Some(text),
            Kind::Refused(refusal) => Some(code_name(&refusal)),
        }
    }

    async fn status(&self, work: &str) -> Option<v1::WorkStatus> {
        let work = work.to_owned();
        let response = self.scheduler().get_job(v1::GetJobRequest { work }).await;
        response
            .ok()
            .and_then(|response| response.into_inner().status)
    }

    /// Returns the number of workers assigned to all shards of the process, leased or not.
    pub(crate) async fn assigned_workers(&self) -> usize {
        let shards = self.shards().await;
        shards.iter().map(|status| status.workers.len()).sum()
    }

    /// Returns the number of workers leased by a shard.
    pub(crate) async fn leased_workers(&self, number: u16) -> usize {
        let id = shard(number).to_string();
        let shards = self.shards().await;
        let status = shards.iter().find(|status| status.shard == id);
        let workers = status.into_iter().flat_map(|status| &status.workers);
        workers.filter(|worker| worker.state == "leased").count()
    }

    /// Hands a shard over as an operator. Returns the number of changes or the name of the refusal.
    pub(crate) async fn hand_over(&self, number: u16, to: &str) -> Result<u32, String> {
        let id = shard(number).to_string();
        let shards = self.shards().await;
        let owned = shards.iter().find(|status| status.shard == id);
        let epoch = owned.map(|status| status.epoch).unwrap_or_default();
        let req = v1::ApplyRequest {
            epoch,
            command: format!("to-{to}-{epoch}"),
            shard: id,
            operator: "dana".to_owned(),
            text: String::new(),
            change: Some(Change::HandOverTo(to.to_owned())),
        };
        let mut client = OperatorClient::new(self.channel.clone());
        let response = client.apply(req).await.unwrap().into_inner();
        match response.refusal {
            Some(refusal) => Err(code_name(&refusal)),
            None => Ok(response.changed),
        }
    }
}

fn spec(kind: WorkKind, payload: &str) -> WorkSpec {
    let service = kind == WorkKind::Service;
    WorkSpec {
        kind,
        team: TEAM.parse().unwrap(),
        priority: Default::default(),
        deadline: None,
        resources: match service {
            true => Resources::ZERO,
            false => Resources::new(Millicores::new(1_000), Bytes::new(1 << 30)),
        },
        task_count: 1,
        run_time: Millis::new(1_500),
        repeatability: Repeatability::AtMostOnce,
        placement: Default::default(),
        service: service.then(|| SERVICE.parse().unwrap()),
        payload: payload.to_owned(),
    }
}

fn code_name(refusal: &v1::Refusal) -> String {
    refusal_from_wire(refusal).code.name().to_owned()
}
