use std::collections::{BTreeMap, BTreeSet};

use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::fleet::{
    Availability, ClockGeneration, EndCursor, ExecutorEntry, ExecutorHealth, ExecutorIdentity,
    FreeCapacity, LeaseClock,
};
use crate::id::{Incarnation, Label, RunNumber, TaskKey};
use crate::run::Run;

/// State of one executor as known to the owner.
#[derive(Debug, Clone)]
pub struct Executor {
    /// Its latest registry entry.
    pub entry: ExecutorEntry,
    /// Whether it accepts new runs.
    pub availability: Availability,
    /// Which incarnation it is, and what shows that.
    pub identity: ExecutorIdentity,
    /// Relates its clock to the owner's and bounds its leases.
    pub clock: LeaseClock,
    /// Generation of its clock to which the lease end in the hold in flight refers; `None` without a lease end.
    pub held_generation: Option<ClockGeneration>,
    /// Ended runs that it lists, and how far they are acknowledged.
    pub ends: EndCursor,
    /// Whether it is suspect.
    pub health: ExecutorHealth,
    /// Tasks that run or may run on it.
    pub tasks: BTreeSet<TaskKey>,
    /// Runs that it lists and that should not exist. They use its resources until they have ended.
    pub unexpected_runs: BTreeMap<TaskKey, (RunNumber, Resources)>,
    /// The current incarnation has sent a complete list, so that everything that ended before it is known.
    pub has_listed_all: bool,
    /// The last hold was not answered. No lease is granted until one is.
    pub is_unresponsive: bool,
    /// The store holds a record of it, so that a later owner asks it for its runs even if its registry entry is gone.
    pub is_recorded: bool,
    reserved: Resources,
    /// Part of the reserved resources that long-running tasks use.
    long_running: Resources,
}

impl Executor {
    pub(crate) fn new(entry: ExecutorEntry) -> Self {
        Self {
            availability: availability(&entry),
            entry,
            identity: ExecutorIdentity::default(),
            clock: LeaseClock::default(),
            held_generation: None,
            ends: EndCursor::default(),
            health: ExecutorHealth::default(),
            tasks: BTreeSet::new(),
            unexpected_runs: BTreeMap::new(),
            has_listed_all: false,
            is_unresponsive: false,
            is_recorded: false,
            reserved: Resources::ZERO,
            long_running: Resources::ZERO,
        }
    }

    pub(crate) fn update(&mut self, entry: ExecutorEntry) {
        self.availability = availability(&entry);
        self.is_recorded &= self.entry.address == entry.address;
        self.entry = entry;
    }

    /// Drops the state of the previous incarnation.
    pub(crate) fn begin_incarnation(
        &mut self,
        max_request_delay: Millis,
        max_lease: Millis,
        now: Timestamp,
    ) {
        self.clock.reset(max_request_delay, max_lease, now);
        self.ends = EndCursor::default();
        self.health = ExecutorHealth::default();
        self.unexpected_runs.clear();
        self.has_listed_all = false;
    }

    pub(crate) fn reserve(&mut self, run: &Run) {
        self.tasks.insert(run.task);
        self.reserved = self.reserved.saturating_add(run.need);
        if run.is_long_running {
            self.long_running = self.long_running.saturating_add(run.need);
        }
    }

    pub(crate) fn release(&mut self, run: &Run) {
        if !self.tasks.remove(&run.task) {
            return;
        }
        self.reserved = self.reserved.saturating_sub(run.need);
        if run.is_long_running {
            self.long_running = self.long_running.saturating_sub(run.need);
        }
    }

    /// Returns true if a run, expected or unexpected, exists or may exist on it.
    pub fn has_runs(&self) -> bool {
        !self.tasks.is_empty() || !self.unexpected_runs.is_empty()
    }

    /// Returns true if no earlier end can still be listed and count: a complete list has arrived, or the lease has
    /// expired, after which ends have no effect.
    pub fn is_fully_listed(&self, now: Timestamp) -> bool {
        self.has_listed_all || self.clock.has_expired(now)
    }

    /// Returns the resources of all runs, expected and unexpected.
    pub fn reserved(&self) -> Resources {
        let unexpected_runs = self.unexpected_runs.values();
        unexpected_runs.fold(self.reserved, |sum, (_, need)| sum.saturating_add(*need))
    }

    /// Returns the capacity for new runs. A suspect executor has none unless `use_suspects` is set, and an unresponsive one
    /// has none: a start that it does not answer holds up its task for long. One whose entry describes another incarnation has
    /// none either, because the incarnations may differ in kind, rack and capacity.
    pub fn free_capacity(&self, now: Timestamp, use_suspects: bool) -> FreeCapacity {
        let known = self.identity.listed_at().is_some()
            && self.identity.is_described()
            && self.clock.has_reading();
        let usable = use_suspects || !self.health.is_suspect(now);
        FreeCapacity {
            open: known
                && usable
                && !self.is_unresponsive
                && self.is_recorded
                && self.availability == Availability::Ready,
            free: self.entry.capacity.saturating_sub(self.reserved()),
            when_idle: self.entry.capacity.saturating_sub(self.long_running),
        }
    }

    /// Returns its current incarnation; `None` if none was named yet.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.identity.current()
    }

    /// Returns true if its current incarnation has the label, by its registry entry.
    pub fn has_label(&self, label: &Label) -> bool {
        self.identity.is_described() && self.entry.labels.contains(label)
    }
}

fn availability(entry: &ExecutorEntry) -> Availability {
    match entry.draining {
        true => Availability::Draining,
        false => Availability::Ready,
    }
}
