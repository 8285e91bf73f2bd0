//! The specification of a piece of work and the states that it passes through.
//!
//! A service request runs in one slot of an executor. A batch run is one task on a worker. A gang job consists of
//! several equal tasks that start together or not at all.

mod outcome;
mod placement_policy;
mod repeatability;
mod spread;
mod work_kind;
mod work_spec;
mod work_state;

pub use self::{
    outcome::Outcome, placement_policy::PlacementPolicy, repeatability::Repeatability,
    spread::Spread, work_kind::WorkKind, work_spec::WorkSpec, work_state::WorkState,
};
