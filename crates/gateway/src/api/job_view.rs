use lagoon_core::id::WorkId;
use lagoon_core::unit::Timestamp;
use lagoon_core::work::{Outcome, WorkSpec, WorkState};
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::{convert, v1};
use serde::Serialize;

use crate::api::outcome_view::OutcomeView;
use crate::api::resources_body::ResourcesBody;

/// JSON form of a job's state.
#[derive(Debug, Serialize)]
pub(crate) struct JobView {
    pub(crate) work: WorkId,
    state: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    reason: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<OutcomeView>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    spec: Option<SpecView>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    workers: Vec<String>,
    pub(crate) accepted_at: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    started_at: Option<u64>,
}

#[derive(Debug, Serialize)]
struct SpecView {
    kind: String,
    team: String,
    priority: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline: Option<u64>,
    resources: ResourcesBody,
    members: u32,
    run_ms: u64,
    repeatability: String,
}

impl JobView {
    /// Converts a scheduler's message. Also returns the specification, for the check of the team.
    ///
    /// # Errors
    ///
    /// `answer_lost` if the message is invalid, because the state of the work is then unknown to the gateway.
    pub(crate) fn from_wire(status: v1::WorkStatus) -> Result<(Self, Option<WorkSpec>), Refusal> {
        let unreadable = |e: Refusal| {
            let message = format!("invalid response of the scheduler: {}", e.message);
            Refusal::new(ResultCode::AnswerLost, message)
        };
        let work = convert::parse_field("work", &status.work).map_err(unreadable)?;
        let state = convert::state_from_wire(&status.state, status.outcome.as_ref());
        let state = state.map_err(unreadable)?;
        let spec = status
            .spec
            .as_ref()
            .map(convert::spec_from_wire)
            .transpose();
        let spec = spec.map_err(unreadable)?;
        let view = Self {
            work,
            state: state.to_string(),
            reason: status.reason,
            result: outcome(state).map(OutcomeView::from),
            spec: spec.as_ref().map(SpecView::new),
            workers: status.workers,
            accepted_at: status.accepted_at,
            started_at: status.started_at,
        };
        Ok((view, spec))
    }
}

impl SpecView {
    fn new(spec: &WorkSpec) -> Self {
        Self {
            kind: spec.kind.to_string(),
            team: spec.team.to_string(),
            priority: spec.priority.get(),
            deadline: spec.deadline.map(Timestamp::as_millis),
            resources: spec.resources.into(),
            members: spec.task_count,
            run_ms: spec.run_time.get(),
            repeatability: spec.repeatability.to_string(),
        }
    }
}

fn outcome(state: WorkState) -> Option<Outcome> {
    match state {
        WorkState::Ended(outcome) => Some(outcome),
        _ => None,
    }
}
