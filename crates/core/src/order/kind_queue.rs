use std::collections::{BTreeSet, VecDeque};

use crate::order::team_lane::LaneKey;
use crate::unit::{Bytes, Resources};

/// Lanes and totals of one kind of work.
#[derive(Debug, Default)]
pub(super) struct KindQueue {
    /// Lanes with ready work.
    pub(super) ready: BTreeSet<LaneKey>,
    /// Lanes with ready urgent work.
    pub(super) urgent: BTreeSet<LaneKey>,
    /// Slot and stamp of entries set aside, in order.
    pub(super) aside: VecDeque<(u32, u64)>,
    pub(super) aside_stale: usize,
    pub(super) in_use: Resources,
    pub(super) len: u64,
    pub(super) bytes: Bytes,
    /// Number of the selection that last took from this kind.
    pub(super) last_turn: u64,
    pub(super) paused: bool,
}
