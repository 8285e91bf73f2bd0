use std::sync::Arc;

use smallvec::SmallVec;

use crate::id::{ExecutorId, WorkId};
use crate::journal::Position;
use crate::order::QueueEntry;
use crate::shard::after_stop::AfterStop;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{Deduplication, WaiterId, WorkView};
use crate::unit::{Bytes, Millicores, Resources, Timestamp};
use crate::work::{Outcome, WorkKind, WorkSpec, WorkState};

/// Resources that one executor slot counts for in team shares and quotas.
pub(super) const SLOT_RESOURCES: Resources = Resources::new(Millicores::new(1_000), Bytes::ZERO);

/// Everything known about a piece of work that has not ended.
#[derive(Debug)]
pub(super) struct WorkRecord {
    pub(super) id: WorkId,
    pub(super) spec: Arc<WorkSpec>,
    pub(super) deduplication: Deduplication,
    pub(super) fingerprint: u64,
    pub(super) state: WorkState,
    /// Why the work is in this state.
    pub(super) reason: String,
    pub(super) placements: SmallVec<[TaskPlacement; 1]>,
    /// Executor that has the request.
    pub(super) executor: Option<ExecutorId>,
    pub(super) accepted_at: Timestamp,
    pub(super) started_at: Option<Timestamp>,
    /// Callers that wait until the acceptance is recorded.
    pub(super) acceptance_waiters: SmallVec<[WaiterId; 1]>,
    /// Callers that wait for the end.
    pub(super) end_waiters: SmallVec<[WaiterId; 1]>,
    /// Journal position of the acceptance while it is not durable.
    pub(super) accepting: Option<Position>,
    /// Outcome that is not durable yet, with its journal position.
    pub(super) ending: Option<(Outcome, Position)>,
    /// Action once every task has stopped.
    pub(super) after_stop: Option<AfterStop>,
    /// True while resources are charged to the team.
    pub(super) charged: bool,
    /// True if an earlier owner accepted the work and may have started it, until that is resolved.
    pub(super) inherited: bool,
    /// True if an earlier start may have run, though no part of it runs any more.
    pub(super) may_have_run: bool,
    /// Time when tasks were placed at other shards.
    pub(super) placed_at: Option<Timestamp>,
    /// True if the previous owner handed the work over without having started it.
    pub(super) unsent: bool,
    /// Number of starts so far.
    pub(super) attempts: u32,
    /// Attempts in which a host failed to start a task of the work. A lost lease or a full host does not count.
    pub(super) failed_attempts: u32,
    /// True if a host failed to start a task of the current attempt.
    pub(super) start_failed: bool,
    /// True once the known workers were found able to hold the work.
    pub(super) feasible: bool,
}

impl WorkRecord {
    pub(super) fn new(
        id: WorkId,
        spec: Arc<WorkSpec>,
        deduplication: Deduplication,
        fingerprint: u64,
        accepted_at: Timestamp,
    ) -> Self {
        Self {
            id,
            spec,
            deduplication,
            fingerprint,
            state: WorkState::Waiting,
            reason: String::new(),
            placements: SmallVec::new(),
            executor: None,
            accepted_at,
            started_at: None,
            acceptance_waiters: SmallVec::new(),
            end_waiters: SmallVec::new(),
            accepting: None,
            ending: None,
            after_stop: None,
            charged: false,
            inherited: false,
            may_have_run: false,
            placed_at: None,
            unsent: false,
            attempts: 0,
            failed_attempts: 0,
            start_failed: false,
            feasible: false,
        }
    }

    /// Returns the resources that the work counts for in shares and quotas.
    pub(super) fn need(&self) -> Resources {
        match self.spec.kind {
            WorkKind::Service => SLOT_RESOURCES,
            _ => self.spec.total_resources().unwrap_or(self.spec.resources),
        }
    }

    pub(super) fn queue_entry(&self) -> QueueEntry {
        QueueEntry {
            work: self.id.clone(),
            kind: self.spec.kind,
            team: self.spec.team.clone(),
            priority: self.spec.priority,
            deadline: self.spec.deadline,
            need: self.need(),
            bytes: self.spec.queue_bytes(),
            enqueued: self.accepted_at,
        }
    }

    /// Returns true if a host may have started some part of the work.
    pub(super) fn may_have_started(&self) -> bool {
        self.state == WorkState::Unresolved
            || self.executor.is_some()
            || !self.placements.is_empty()
    }

    pub(super) fn view(&self) -> WorkView {
        WorkView {
            work: self.id.clone(),
            spec: self.spec.clone(),
            state: self.state.clone(),
            reason: self.reason.clone(),
            workers: self
                .placements
                .iter()
                .map(|placement| placement.worker.clone())
                .collect(),
            accepted_at: self.accepted_at,
            started_at: self.started_at,
        }
    }
}
