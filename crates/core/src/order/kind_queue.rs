use std::collections::BTreeSet;

use crate::order::aside_list::AsideList;
use crate::order::team_lane::LaneKey;
use crate::unit::{Bytes, Priority, Resources};

/// Lanes and totals of one kind of work.
#[derive(Debug, Default)]
pub(super) struct KindQueue {
    /// Lanes with ready work.
    pub(super) ready: BTreeSet<LaneKey>,
    /// Lanes with ready urgent work.
    pub(super) urgent: BTreeSet<LaneKey>,
    /// Entries set aside: regular ones, and urgent ones.
    pub(super) aside: [AsideList; 2],
    pub(super) in_use: Resources,
    pub(super) len: u64,
    pub(super) bytes: Bytes,
    /// Number of the selection that last took from this kind.
    pub(super) last_turn: u64,
    pub(super) paused: bool,
}

impl KindQueue {
    /// Returns the list of entries of that urgency that were set aside.
    pub(super) fn aside_mut(&mut self, priority: Priority) -> &mut AsideList {
        &mut self.aside[usize::from(priority.is_urgent())]
    }
}
