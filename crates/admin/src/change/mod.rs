//! Commands: planning, the confirmation that binds an apply to its preview, and execution.
//!
//! A command is planned twice, for the preview and for the apply. The confirmation code is a hash of the command's text,
//! the affected ids and the versions, so the apply is refused if any of them changed in between.

mod applier;
mod apply_request;
mod apply_response;
mod command_locks;
mod confirmation;
mod edit;
mod item_kind;
mod plan;
mod planned_change;
mod planner;
mod policy_plan;
mod policy_store;
mod preview;
mod shard_apply;
mod shard_change;
mod stored_policy;
mod work_plan;

pub(crate) use self::{
    applier::Applier, apply_request::ApplyRequest, apply_response::ApplyResponse,
    confirmation::Confirmation, planner::Planner, policy_store::PolicyStore, preview::Preview,
};
use self::{
    command_locks::CommandLocks, item_kind::ItemKind, plan::Plan, planned_change::PlannedChange,
    shard_change::ShardChange, stored_policy::StoredPolicy,
};
