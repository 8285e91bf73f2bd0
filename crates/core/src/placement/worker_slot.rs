use crate::id::{RackId, WorkerId};
use crate::placement::ClosedReasons;
use crate::placement::gang_hold::fit_count;
use crate::policy::Percent;
use crate::unit::{Millicores, Resources};

/// State of one worker in the fleet.
#[derive(Debug, Clone)]
pub struct WorkerSlot {
    pub(super) id: WorkerId,
    pub(super) rack: RackId,
    pub(super) capacity: Resources,
    pub(super) allocated: Resources,
    pub(super) observed: Resources,
    pub(super) covered: Resources,
    pub(super) closed: ClosedReasons,
    /// Set only while a gang is placed, if a task of the gang is in the worker's rack already.
    pub(super) skipped: bool,
    /// Set while the worker is held for a gang job.
    pub(super) held: bool,
}

impl WorkerSlot {
    pub(super) fn new(id: WorkerId, rack: RackId, capacity: Resources) -> Self {
        Self {
            id,
            rack,
            capacity,
            allocated: Resources::ZERO,
            observed: Resources::ZERO,
            covered: Resources::ZERO,
            closed: ClosedReasons::default(),
            skipped: false,
            held: false,
        }
    }

    /// Returns the id.
    pub fn id(&self) -> &WorkerId {
        &self.id
    }

    /// Returns the rack.
    pub fn rack(&self) -> &RackId {
        &self.rack
    }

    /// Returns the total capacity.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns the declared sizes of its tasks together.
    pub fn allocated(&self) -> Resources {
        self.allocated
    }

    /// Returns the usage in the last report.
    pub fn observed(&self) -> Resources {
        self.observed
    }

    /// Returns the reasons why the worker receives no new work.
    pub fn closed(&self) -> ClosedReasons {
        self.closed
    }

    /// Returns true if new work may be placed on the worker. A worker whose capacity shrank below its allocations
    /// accepts none, not even work that needs nothing of the exceeded dimension.
    pub(super) fn accepts_work(&self, margin: Option<Percent>) -> bool {
        let excluded = self.skipped || self.held;
        self.closed.is_empty() && !excluded && self.unreserved(margin).is_some()
    }

    /// Returns how many tasks of a gang job fit now if the worker is held for that job.
    pub(super) fn fitting_tasks(&self, need: &Resources, margin: Option<Percent>) -> u64 {
        let usable = self.closed.is_empty() && self.unreserved(margin).is_some();
        match usable {
            true => fit_count(need, &self.free(margin)),
            false => 0,
        }
    }

    /// Returns the capacity less what is reserved, or `None` if more is reserved than the capacity.
    pub(super) fn unreserved(&self, margin: Option<Percent>) -> Option<Resources> {
        self.capacity.checked_sub(self.reserved(margin))
    }

    /// Returns the allocated resources less the reclaimed processors. Only processors are reclaimed, because memory and
    /// accelerators can't be taken back from a running task.
    pub(super) fn reserved(&self, margin: Option<Percent>) -> Resources {
        let Some(margin) = margin else {
            return self.allocated;
        };
        let used = self.observed.cpu.get();
        let with_margin = used.saturating_add(margin.of(self.covered.cpu.get()));
        let covered = self.covered.cpu.min(Millicores::new(with_margin));
        let unobserved = self.allocated.cpu.saturating_sub(self.covered.cpu);
        Resources {
            cpu: covered.saturating_add(unobserved),
            ..self.allocated
        }
    }

    /// Returns the resources that are free for new work: the capacity less the larger of what is reserved and what is
    /// in use. Allocations that the usage report does not cover count as in use in full.
    pub(super) fn free(&self, margin: Option<Percent>) -> Resources {
        let unobserved = match self.covered == Resources::ZERO {
            true => Resources::ZERO,
            false => self.allocated.saturating_sub(self.covered),
        };
        let in_use = self.observed.saturating_add(unobserved);
        self.capacity
            .saturating_sub(self.reserved(margin).max(in_use))
    }
}
