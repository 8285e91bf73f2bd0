use std::collections::BTreeMap;

use lagoon_jobs::id::{Epoch, MemberId, QueueName};
use serde::Serialize;

use crate::cell::{MemberEntry, OwnerEntry};

/// What a node knows of its cell.
#[derive(Debug, Serialize)]
pub(super) struct CellReport {
    /// This node.
    pub(super) member: MemberId,
    /// The store answers this node.
    pub(super) has_store: bool,
    /// Version of the configuration in force; none before the first one.
    pub(super) configuration: Option<u64>,
    /// Who owns the cell; none if nobody does.
    pub(super) owner: Option<OwnerEntry>,
    /// Epoch under which this node places work; none if it does not.
    pub(super) serves_as: Option<Epoch>,
    /// Every registered member.
    pub(super) members: Vec<MemberEntry>,
    /// Jobs without a started task by queue, if this node places work.
    pub(super) waiting: BTreeMap<QueueName, u32>,
}
