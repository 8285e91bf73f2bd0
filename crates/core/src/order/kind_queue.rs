use std::collections::{BTreeSet, VecDeque};

use crate::order::team_queue::TeamQueueKey;
use crate::unit::{Bytes, Resources, Timestamp};

/// Team queues and usage of one kind of work.
#[derive(Debug, Default)]
pub(super) struct KindQueue {
    /// Team queues with ready work.
    pub(super) ready: BTreeSet<TeamQueueKey>,
    /// Team queues with ready urgent work.
    pub(super) urgent: BTreeSet<TeamQueueKey>,
    /// Teams with deferred regular entries and with deferred urgent entries, in round-robin order.
    pub(super) deferred_teams: [VecDeque<u32>; 2],
    /// Time of acceptance and slot of the deferred gang jobs.
    pub(super) deferred_gangs: BTreeSet<(Timestamp, u32)>,
    pub(super) in_use: Resources,
    pub(super) len: u64,
    /// Number of teams with regular and with urgent entries in any state.
    pub(super) waiting_teams: [u64; 2],
    pub(super) bytes: Bytes,
    /// Number of the last selection that took an entry of this kind.
    pub(super) last_turn: u64,
    pub(super) paused: bool,
}
