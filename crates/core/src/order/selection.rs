use crate::order::FairQueue;
use crate::order::kind_queue::KindQueue;
use crate::work::WorkKind;

/// Largest number of urgent entries in a row before one entry goes in regular order.
const MAX_URGENT_STREAK: u32 = 4;

/// Kind of work that is selected next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Selection {
    pub(super) kind: WorkKind,
    pub(super) urgent: bool,
}

impl FairQueue {
    /// Selects the kind that goes next, and whether it goes as urgent work.
    pub(super) fn select(&self) -> Option<Selection> {
        if self.urgent_streak < MAX_URGENT_STREAK
            && let Some(kind) = self.select_urgent()
        {
            return Some(Selection { kind, urgent: true });
        }
        let kinds = WorkKind::ALL.iter().copied();
        let eligible =
            kinds.filter(|kind| self.may_start(*kind) && !self.kind(*kind).ready.is_empty());
        let kind = eligible.min_by_key(|kind| self.regular_key(*kind))?;
        Some(Selection {
            kind,
            urgent: false,
        })
    }

    fn select_urgent(&self) -> Option<WorkKind> {
        let unmet = |kind: WorkKind| {
            let waits = !self.kind(kind).ready.is_empty() && !self.kind(kind).paused;
            match waits {
                true => (self.guaranteed(kind) - self.share(kind)).max(0.0),
                false => 0.0,
            }
        };
        let total: f64 = WorkKind::ALL.iter().copied().map(unmet).sum();
        let kinds = WorkKind::ALL.iter().copied();
        let eligible = kinds.filter(|kind| {
            let unmet_of_others = total - unmet(*kind);
            let within = self.share(*kind) < 1.0 - unmet_of_others;
            !self.kind(*kind).urgent.is_empty() && self.may_start(*kind) && within
        });
        eligible.min_by_key(|kind| (self.share(*kind).to_bits(), self.kind(*kind).last_turn))
    }

    /// Orders kinds below their guaranteed share first, then by the used fraction of it, then by last turn.
    fn regular_key(&self, kind: WorkKind) -> (bool, u64, u64) {
        let (share, guaranteed) = (self.share(kind), self.guaranteed(kind));
        // Avoids a division by zero: a kind without a guarantee counts as one with the smallest nonzero guarantee, 1%.
        let ratio = share / guaranteed.max(0.01);
        let above_guarantee = share >= guaranteed;
        (above_guarantee, ratio.to_bits(), self.kind(kind).last_turn)
    }

    /// Returns true if a kind is below its ceiling. The last start may exceed the ceiling, because a gang job larger
    /// than the ceiling would otherwise wait forever.
    fn may_start(&self, kind: WorkKind) -> bool {
        let ceiling = self.policy.kinds.get(kind).ceiling_percent.as_fraction();
        !self.kind(kind).paused && self.share(kind) < ceiling
    }

    fn guaranteed(&self, kind: WorkKind) -> f64 {
        let shares = self.policy.kinds.get(kind);
        shares.guaranteed_percent.as_fraction()
    }

    fn share(&self, kind: WorkKind) -> f64 {
        self.kind(kind).in_use.dominant_share(&self.total_capacity)
    }

    pub(super) fn kind(&self, kind: WorkKind) -> &KindQueue {
        &self.kinds[kind as usize]
    }
}
