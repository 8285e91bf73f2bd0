use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use crate::admission::{Admission, StartRateEstimator};
use crate::code::{Refusal, ResultCode};
use crate::health::{RetryBudget, WorkerHealth};
use crate::id::{
    Epoch, Incarnation, RequestKey, Sequence, ServiceName, ShardId, TeamId, Ticket, WorkId,
    WorkerId,
};
use crate::journal::{Head, Journal, JournalState, Position, StoreVersion};
use crate::order::{FairQueue, HeadGang};
use crate::placement::Fleet;
use crate::policy::Policy;
use crate::shard::borrowing::Borrowing;
use crate::shard::command_log::CommandLog;
use crate::shard::commit::PendingEntry;
use crate::shard::hand_over_step::HandOverStep;
use crate::shard::pending_starts::PendingStarts;
use crate::shard::reservation::Reservation;
use crate::shard::slot_table::SlotTable;
use crate::shard::unconfirmed_refusal::UnconfirmedRefusal;
use crate::shard::work_record::WorkRecord;
use crate::shard::worker_record::WorkerRecord;
use crate::shard::{
    Effect, Reply, ReservationId, ShardConfig, ShardEvent, ShardLifecycle, ShardPhase, WaiterId,
};
use crate::ticket::TicketTable;
use crate::unit::Timestamp;

/// State of an owned shard.
#[derive(Debug)]
pub struct Shard {
    pub(super) config: ShardConfig,
    pub(super) lifecycle: ShardLifecycle,
    pub(super) epoch: Epoch,
    pub(super) policy: Arc<Policy>,
    pub(super) fleet: Fleet,
    /// Batch runs and gang jobs, which compete for workers.
    pub(super) tasks: FairQueue,
    /// Gang job for which workers are held.
    pub(super) head_gang: HeadGang,
    /// Requests of each service, which compete for its slots.
    pub(super) requests: HashMap<ServiceName, FairQueue>,
    pub(super) admission: Admission,
    pub(super) health: WorkerHealth,
    pub(super) retry_budget: RetryBudget,
    pub(super) task_rate: StartRateEstimator,
    pub(super) request_rates: HashMap<ServiceName, StartRateEstimator>,
    pub(super) tickets: TicketTable,
    pub(super) journal: Journal,
    pub(super) records: HashMap<WorkId, WorkRecord>,
    pub(super) by_ticket: HashMap<Ticket, WorkId>,
    pub(super) by_key: HashMap<(TeamId, RequestKey), WorkId>,
    pub(super) workers: BTreeMap<WorkerId, WorkerRecord>,
    pub(super) slots: SlotTable,
    /// Workers of earlier owners that have not responded to fencing, with the incarnation that the journal records.
    pub(super) unfenced: BTreeMap<WorkerId, Incarnation>,
    /// True if a worker of an earlier owner has lost its tasks.
    pub(super) inherited_tasks_lost: bool,
    pub(super) next_work: Sequence,
    pub(super) uncommitted: VecDeque<(Position, PendingEntry)>,
    /// Refusals that wait for an ownership check, in the order of the checks.
    pub(super) unconfirmed_refusals: VecDeque<UnconfirmedRefusal>,
    pub(super) pending_starts: PendingStarts,
    pub(super) commands: CommandLog,
    pub(super) effects: Vec<Effect>,
    pub(super) hand_over: HandOverStep,
    /// Capacity reserved for other shards.
    pub(super) reservations: BTreeMap<ReservationId, Reservation>,
    pub(super) next_reservation: Sequence,
    /// Highest epoch seen of each borrower.
    pub(super) borrowers: HashMap<ShardId, Epoch>,
    pub(super) borrowing: Option<Borrowing>,
    /// Jobs that need other shards and wait to be tried.
    pub(super) borrow_queue: VecDeque<WorkId>,
    /// No borrowing starts before this time.
    pub(super) borrow_after: Timestamp,
    /// Workers of the failure domain as the host list describes them. Used for feasibility only; is_empty is allocated
    /// here.
    pub(super) domain_fleet: Fleet,
}

impl Shard {
    /// Creates the state from a claimed head and the replayed journal. The shard accepts work at once; work that
    /// earlier owners may have started stays unresolved until their workers have responded.
    pub fn new(
        config: ShardConfig,
        head: Head,
        version: StoreVersion,
        state: JournalState,
        policy: Arc<Policy>,
    ) -> Self {
        let epoch = head.epoch;
        let shard = config.shard.clone();
        let mut lifecycle = ShardLifecycle::new();
        lifecycle.handle(ShardEvent::Elected);
        lifecycle.handle(ShardEvent::Claimed);
        let mut this = Self {
            lifecycle,
            epoch,
            fleet: Fleet::new(),
            tasks: FairQueue::new(Policy::clone(&policy)),
            head_gang: HeadGang::default(),
            requests: HashMap::new(),
            admission: Admission::new(Policy::clone(&policy)),
            health: WorkerHealth::new(policy.health),
            retry_budget: RetryBudget::new(policy.retry_budget_percent),
            task_rate: StartRateEstimator::new(),
            request_rates: HashMap::new(),
            tickets: TicketTable::new(shard.clone(), epoch, config.tickets),
            journal: Journal::new(shard, head, version, state, config.journal),
            records: HashMap::new(),
            by_ticket: HashMap::new(),
            by_key: HashMap::new(),
            workers: BTreeMap::new(),
            slots: SlotTable::default(),
            unfenced: BTreeMap::new(),
            inherited_tasks_lost: false,
            next_work: Sequence::default(),
            uncommitted: VecDeque::new(),
            unconfirmed_refusals: VecDeque::new(),
            pending_starts: PendingStarts::default(),
            commands: CommandLog::default(),
            effects: Vec::new(),
            hand_over: HandOverStep::None,
            reservations: BTreeMap::new(),
            next_reservation: Sequence::default(),
            borrowers: HashMap::new(),
            borrowing: None,
            borrow_queue: VecDeque::new(),
            borrow_after: Timestamp::default(),
            domain_fleet: Fleet::new(),
            policy,
            config,
        };
        this.load_inherited();
        this
    }

    /// Returns the shard id.
    pub fn id(&self) -> &ShardId {
        &self.config.shard
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the phase of the ownership.
    pub fn phase(&self) -> ShardPhase {
        self.lifecycle.phase()
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Returns the effects that accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in &mut effects {
            match effect {
                Effect::Start { worker, task, .. } => self.pending_starts.record_sent(worker, task),
                Effect::Acknowledge { worker, tasks } => {
                    tasks.retain(|task| !self.pending_starts.defer_acknowledgement(worker, task));
                }
                _ => {}
            }
        }
        let is_empty = |effect: &Effect| matches!(effect, Effect::Acknowledge { tasks, .. } if tasks.is_empty());
        effects.retain(|effect| !is_empty(effect));
        effects
    }

    /// Applies a newer policy. An older or equal version changes is_empty.
    pub fn set_policy(&mut self, policy: &Arc<Policy>) {
        if policy.version <= self.policy.version {
            return;
        }
        self.policy = policy.clone();
        self.tasks.set_policy(Policy::clone(policy));
        for queue in self.requests.values_mut() {
            queue.set_policy(Policy::clone(policy));
        }
        self.admission.set_policy(Policy::clone(policy));
        self.health.set_policy(policy.health);
        self.retry_budget.set_percent(policy.retry_budget_percent);
        self.apply_drains();
    }

    pub(super) fn reply(&mut self, waiter: WaiterId, reply: Reply) {
        self.effects.push(Effect::Reply { waiter, reply });
    }

    pub(super) fn next_work_id(&mut self) -> WorkId {
        let sequence = self.next_work;
        self.next_work = sequence.next();
        WorkId::new(self.config.shard.clone(), self.epoch, sequence)
    }

    pub(super) fn check_accepting(&self) -> Result<(), Refusal> {
        let refuse = |code, text: &str| {
            Err(Refusal::new(
                code,
                format!("shard {}: {text}", self.config.shard),
            ))
        };
        match self.phase() {
            ShardPhase::Fencing | ShardPhase::Serving => Ok(()),
            ShardPhase::HandingOver => refuse(ResultCode::HandingOver, "a handover is in progress"),
            ShardPhase::Stopped => refuse(
                ResultCode::ShardStopped,
                "stopped after an invariant violation",
            ),
            ShardPhase::Standby | ShardPhase::Claiming => {
                refuse(ResultCode::NotServing, "not served by this process")
            }
        }
    }
}
