use std::sync::Arc;

use lagoon_core::id::WorkId;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{parse_field, refusal_to_wire};
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;
use lagoon_wire::v1::operator_server::Operator;
use tonic::{Request, Response, Status};

use crate::service::Node;
use crate::service::view::work_status;

/// Serves the admin process.
#[derive(Debug)]
pub(crate) struct OperatorService {
    node: Arc<Node>,
}

impl OperatorService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn find(&self, work: &str) -> Result<v1::WorkStatus, Refusal> {
        let work: WorkId = parse_field("work", work)?;
        let cell = self.node.cell_of(work.shard())?;
        let found = cell.with(|shard| shard.work(&work))?;
        let unknown = || Refusal::new(ResultCode::UnknownWork, format!("{work} is not known"));
        found.as_ref().map(work_status).ok_or_else(unknown)
    }

    fn apply(&self, req: &v1::ApplyRequest) -> Result<u32, Refusal> {
        let cell = self.node.cell(&req.shard)?;
        let now = self.node.cx.clock.now();
        let change = req
            .change
            .as_ref()
            .ok_or_else(|| Refusal::new(ResultCode::Malformed, "change is missing"))?;
        let works = |list: &v1::WorkList| -> Result<Vec<WorkId>, Refusal> {
            list.works
                .iter()
                .map(|work| parse_field("work", work))
                .collect()
        };
        let count = |changed: Vec<bool>| changed.into_iter().filter(|changed| *changed).count();
        let changed = match change {
            Change::Hold(list) => {
                let works = works(list)?;
                cell.with(|shard| count(works.iter().map(|work| shard.hold(work)).collect()))?
            }
            Change::Release(list) => {
                let works = works(list)?;
                let release = |shard: &mut lagoon_core::shard::Shard| {
                    count(works.iter().map(|work| shard.release_hold(work)).collect())
                };
                cell.with(release)?
            }
            Change::Cancel(list) => {
                let works = works(list)?;
                for work in &works {
                    let by = format!("by {}", req.operator);
                    cell.with_waiter(|shard, waiter| shard.cancel(waiter, work, &by, now))?;
                }
                works.len()
            }
            Change::ConfirmDeadHost(host) => {
                let host = parse_field("host", host)?;
                cell.with(|shard| shard.confirm_dead(&host, now))
                    .flatten()?
            }
            Change::HandOverTo(process) => {
                let text = format!("a handover to {process} is not served");
                return Err(Refusal::new(ResultCode::InvalidValue, text));
            }
        };
        Ok(u32::try_from(changed).unwrap_or(u32::MAX))
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn explain(
        &self,
        req: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainResponse>, Status> {
        let answer = match self.find(&req.into_inner().work) {
            Ok(status) => v1::ExplainResponse {
                rule: status.reason.clone(),
                status: Some(status),
                remedy: String::new(),
                refusal: None,
            },
            Err(refusal) => v1::ExplainResponse {
                refusal: Some(refusal_to_wire(&refusal)),
                ..Default::default()
            },
        };
        Ok(Response::new(answer))
    }

    async fn apply(
        &self,
        req: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let req = req.into_inner();
        let answer = match self.apply(&req) {
            Ok(changed) => v1::ApplyResponse {
                changed,
                ..Default::default()
            },
            Err(refusal) => v1::ApplyResponse {
                refusal: Some(refusal_to_wire(&refusal)),
                ..Default::default()
            },
        };
        Ok(Response::new(answer))
    }
}
