use std::collections::{BTreeMap, BTreeSet};

use lagoon_core::unit::{Resources, Timestamp};

use crate::fleet::{
    Availability, EndCursor, ExecutorEntry, ExecutorHealth, FreeCapacity, LeaseClock,
};
use crate::id::{Incarnation, Label, RunNumber, TaskKey};

/// One executor as its owner knows it.
#[derive(Debug, Clone)]
pub struct Executor {
    /// What it last said of itself.
    pub entry: ExecutorEntry,
    /// Whether it takes part.
    pub availability: Availability,
    /// The life that last listed its runs.
    pub incarnation: Option<Incarnation>,
    /// Relation of its clock to ours.
    pub clock: LeaseClock,
    /// Its ends.
    pub ends: EndCursor,
    /// Whether it does its work.
    pub health: ExecutorHealth,
    /// Tasks that run there or may run there.
    pub tasks: BTreeSet<TaskKey>,
    /// Runs listed there that should not exist; they take room until they are gone.
    pub unexpected_runs: BTreeMap<TaskKey, (RunNumber, Resources)>,
    /// Its present life has listed all ends up to some moment, so that what ended before it is known.
    pub has_listed_all: bool,
    /// The last hold was not answered, so no lease is granted until one is.
    pub is_unresponsive: bool,
    /// The store holds a record of it, so that a later owner asks it for its runs even if it is not listed.
    pub is_recorded: bool,
    /// When its last list arrived here.
    pub listed_at: Option<Timestamp>,
    reserved: Resources,
}

impl Executor {
    pub(crate) fn new(entry: ExecutorEntry) -> Self {
        Self {
            availability: availability(&entry),
            entry,
            incarnation: None,
            clock: LeaseClock::default(),
            ends: EndCursor::default(),
            health: ExecutorHealth::default(),
            tasks: BTreeSet::new(),
            unexpected_runs: BTreeMap::new(),
            has_listed_all: false,
            is_unresponsive: false,
            is_recorded: false,
            listed_at: None,
            reserved: Resources::ZERO,
        }
    }

    pub(crate) fn update(&mut self, entry: ExecutorEntry) {
        self.availability = availability(&entry);
        self.is_recorded &= self.entry.address == entry.address;
        self.entry = entry;
    }

    /// Forgets what belonged to the last life.
    pub(crate) fn begin_incarnation(&mut self, incarnation: Option<Incarnation>) {
        self.incarnation = incarnation;
        self.clock.reset();
        self.ends = EndCursor::default();
        self.health = ExecutorHealth::default();
        self.unexpected_runs.clear();
        self.has_listed_all = false;
    }

    pub(crate) fn reserve(&mut self, task: TaskKey, need: Resources) {
        self.tasks.insert(task);
        self.reserved = self.reserved.saturating_add(need);
    }

    pub(crate) fn release(&mut self, task: TaskKey, need: Resources) {
        if self.tasks.remove(&task) {
            self.reserved = self.reserved.saturating_sub(need);
        }
    }

    /// Tells whether something runs there or may run there, wanted or not.
    pub fn has_runs(&self) -> bool {
        !self.tasks.is_empty() || !self.unexpected_runs.is_empty()
    }

    /// Tells whether nothing more will be listed of what happened before: all of it was, or it binds nobody any more, because
    /// the lease has lapsed.
    pub fn is_fully_listed(&self, now: Timestamp) -> bool {
        self.has_listed_all || self.clock.has_expired(now)
    }

    /// Returns what runs take, wanted or not.
    pub fn reserved(&self) -> Resources {
        let unexpected_runs = self.unexpected_runs.values();
        unexpected_runs.fold(self.reserved, |sum, (_, need)| sum.saturating_add(*need))
    }

    /// Returns what can still be placed; a suspect takes nothing unless `use_suspects`.
    pub fn free_capacity(&self, now: Timestamp, use_suspects: bool) -> FreeCapacity {
        let known = self.listed_at.is_some() && self.clock.has_reading();
        let sound = use_suspects || !self.health.is_suspect(now);
        FreeCapacity {
            open: known && sound && self.is_recorded && self.availability == Availability::Ready,
            free: self.entry.capacity.saturating_sub(self.reserved()),
            capacity: self.entry.capacity,
        }
    }

    /// Tells whether it has a label.
    pub fn has_label(&self, label: &Label) -> bool {
        self.entry.labels.contains(label)
    }
}

fn availability(entry: &ExecutorEntry) -> Availability {
    match entry.draining {
        true => Availability::Draining,
        false => Availability::Ready,
    }
}
