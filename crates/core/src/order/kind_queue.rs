use std::collections::{BTreeSet, VecDeque};

use crate::order::team_lane::LaneKey;
use crate::unit::{Bytes, Resources, Timestamp};

/// Lanes and totals of one kind of work.
#[derive(Debug, Default)]
pub(super) struct KindQueue {
    /// Lanes with ready work.
    pub(super) ready: BTreeSet<LaneKey>,
    /// Lanes with ready urgent work.
    pub(super) urgent: BTreeSet<LaneKey>,
    /// Teams with regular and with urgent entries set aside, in turn.
    pub(super) aside_teams: [VecDeque<u32>; 2],
    /// Time of acceptance and slot of the gang jobs set aside.
    pub(super) gangs_aside: BTreeSet<(Timestamp, u32)>,
    pub(super) in_use: Resources,
    pub(super) len: u64,
    /// Teams with regular and with urgent entries, wherever they wait.
    pub(super) waiting_teams: [u64; 2],
    pub(super) bytes: Bytes,
    /// Number of the selection that last took from this kind.
    pub(super) last_turn: u64,
    pub(super) paused: bool,
}
