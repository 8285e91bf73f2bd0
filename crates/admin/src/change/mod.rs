//! Commands: what they would touch, the confirmation that binds an apply to its preview, and the apply itself.
//!
//! A plan is made twice, for the preview and again for the apply. The confirmation code is a hash of the command's text,
//! the touched ids and the versions, so the apply is refused if anything of it changed in between.

mod applied;
mod applier;
mod apply_request;
mod confirmation;
mod edit;
mod effect;
mod plan;
mod planner;
mod policy_plan;
mod policy_store;
mod preview;
mod shard_apply;
mod shard_change;
mod stored_policy;
mod turns;
mod unit;
mod work_plan;

pub(crate) use self::{
    applied::Applied, applier::Applier, apply_request::ApplyRequest, confirmation::Confirmation,
    planner::Planner, policy_store::PolicyStore, preview::Preview,
};
use self::{
    effect::Effect, plan::Plan, shard_change::ShardChange, stored_policy::StoredPolicy,
    turns::Turns, unit::Unit,
};
