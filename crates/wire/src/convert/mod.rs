//! Conversions between generated messages and the types of `lagoon_core`.
//!
//! A message that doesn't parse becomes a [`Refusal`](lagoon_core::Refusal) with the code `invalid_value`, so that all
//! services report invalid input in the same way.

mod field;
mod outcome;
mod placement;
mod refusal;
mod resources;
mod spec;
mod status;

pub use self::{
    field::{optional_field, parse_field, parse_list},
    outcome::{outcome_from_wire, outcome_to_wire},
    placement::{placement_from_wire, placement_to_wire},
    refusal::{refusal_from_wire, refusal_to_wire},
    resources::{resources_from_wire, resources_to_wire},
    spec::{spec_from_wire, spec_to_wire},
    status::{state_from_wire, state_to_wire},
};
