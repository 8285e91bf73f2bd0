use std::collections::BTreeMap;

use lagoon_jobs::id::{Epoch, MemberId, QueueName};
use serde::Serialize;

use crate::cell::{MemberEntry, OwnerEntry};

/// State of the cell as this node knows it.
#[derive(Debug, Serialize)]
pub(super) struct CellReport {
    /// Name of this node.
    pub(super) member: MemberId,
    /// Whether the store answers this node.
    pub(super) has_store: bool,
    /// Version of the current configuration; `None` before the first one.
    pub(super) configuration: Option<u64>,
    /// Owner of the cell; `None` if it has none.
    pub(super) owner: Option<OwnerEntry>,
    /// Epoch under which this node places work; `None` if it does not.
    pub(super) serves_as: Option<Epoch>,
    /// Registered members.
    pub(super) members: Vec<MemberEntry>,
    /// Number of jobs without a started task by queue; empty unless this node places work.
    pub(super) waiting: BTreeMap<QueueName, u32>,
}
