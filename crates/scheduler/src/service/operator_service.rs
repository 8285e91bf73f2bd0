use std::sync::Arc;

use lagoon_core::id::{CommandId, ProcessId, WorkId};
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{parse_field, refusal_to_wire};
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;
use lagoon_wire::v1::operator_server::Operator;
use tonic::{Request, Response, Status};

use crate::cell::ShardCell;
use crate::drive::{HandOverReason, hand_over};
use crate::service::Node;
use crate::service::view::work_status;

/// Checks of the journal before a command is reported as not recorded.
const RECORD_CHECKS: u32 = 20;
/// Interval between two checks.
const RECORD_CHECK_INTERVAL: Millis = Millis::new(50);

/// Serves calls from the admin process.
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

    /// Executes a command unless it was executed before.
    async fn apply(&self, req: &v1::ApplyRequest) -> Result<v1::ApplyResponse, Refusal> {
        let command: CommandId = parse_field("command", &req.command)?;
        let cell = self.node.cell(&req.shard)?;
        let known = cell.with(|shard| shard.command_result(&command));
        if let Ok(Some(changed)) = known {
            let recorded = is_recorded(cell).await;
            return Ok(v1::ApplyResponse {
                changed,
                repeated: true,
                recorded,
                refusal: None,
            });
        }
        check_epoch(req, cell)?;
        let changed = self.execute(req).await?;
        // Fails after a handover, which has ended the ownership. Repeating a handover changes nothing.
        let _ = cell.with(|shard| shard.record_command(command, changed));
        let recorded = is_recorded(cell).await;
        Ok(v1::ApplyResponse {
            changed,
            repeated: false,
            recorded,
            refusal: None,
        })
    }

    async fn execute(&self, req: &v1::ApplyRequest) -> Result<u32, Refusal> {
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
            Change::HandOverTo(process) => return self.hand_over(&req.shard, process).await,
        };
        Ok(u32::try_from(changed).unwrap_or(u32::MAX))
    }

    /// Hands a shard over to a peer. Changes nothing if the peer owns the shard already.
    async fn hand_over(&self, shard: &str, process: &str) -> Result<u32, Refusal> {
        let to: ProcessId = parse_field("hand_over_to", process)?;
        let cell = self.node.cell(shard)?;
        let members = &self.node.cx.members;
        if cell.epoch().is_none() {
            let owner = members.owner(cell.id());
            if owner.is_some_and(|(owner, ..)| owner == to) {
                return Ok(0);
            }
        }
        let peers = members.successors(cell.id(), self.node.cx.clock.now());
        let to = peers.into_iter().find(|peer| peer.process == to);
        let to = to.ok_or_else(|| {
            let text = format!("hand_over_to: no live scheduler {process} in the failure domain");
            Refusal::new(ResultCode::InvalidValue, text)
        })?;
        // In its own task, because the handover must continue if the operator's call is cancelled.
        let cell = cell.clone();
        let handed_over =
            tokio::spawn(async move { hand_over(&cell, &to, HandOverReason::Operator).await });
        let handed_over = handed_over.await;
        handed_over.unwrap_or_else(|e| Err(Refusal::new(ResultCode::NotServing, e.to_string())))?;
        Ok(1)
    }
}

/// Refuses a command if the owner of the shard has changed since its preview.
fn check_epoch(req: &v1::ApplyRequest, cell: &ShardCell) -> Result<(), Refusal> {
    // Without ownership, a repeated handover succeeds and other commands are refused as `not_owner`.
    let Some(epoch) = cell.epoch().filter(|epoch| epoch.get() != req.epoch) else {
        return Ok(());
    };
    let (shard, seen) = (&req.shard, req.epoch);
    let text =
        format!("shard {shard} is at epoch {epoch}, but the preview was made at epoch {seen}");
    Err(Refusal::new(ResultCode::StalePreview, text))
}

/// Waits until the store has recorded all changes so far. Returns false if it does not in time.
async fn is_recorded(cell: &Arc<ShardCell>) -> bool {
    let Ok(position) = cell.with(|shard| shard.last_entry()) else {
        return false;
    };
    for _ in 0..RECORD_CHECKS {
        match cell.with(|shard| shard.is_recorded(position)) {
            Ok(true) => return true,
            Ok(false) => tokio::time::sleep(RECORD_CHECK_INTERVAL.to_duration()).await,
            Err(_) => return false,
        }
    }
    false
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn explain(
        &self,
        req: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainResponse>, Status> {
        let response = match self.find(&req.into_inner().work) {
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
        Ok(Response::new(response))
    }

    async fn apply(
        &self,
        req: Request<v1::ApplyRequest>,
    ) -> Result<Response<v1::ApplyResponse>, Status> {
        let req = req.into_inner();
        let response = match self.apply(&req).await {
            Ok(response) => response,
            Err(refusal) => v1::ApplyResponse {
                refusal: Some(refusal_to_wire(&refusal)),
                ..Default::default()
            },
        };
        Ok(Response::new(response))
    }
}
