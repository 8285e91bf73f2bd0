use lagoon_core::unit::{Millis, Priority, Timestamp};
use lagoon_core::work::WorkSpec;
use lagoon_core::{Refusal, ResultCode};

use crate::convert::{
    optional_field, parse_field, placement_from_wire, placement_to_wire, resources_from_wire,
    resources_to_wire,
};
use crate::v1;

/// Converts a work spec to its message.
pub fn spec_to_wire(spec: &WorkSpec) -> v1::WorkSpec {
    v1::WorkSpec {
        kind: spec.kind.to_string(),
        team: spec.team.to_string(),
        priority: spec.priority.get().into(),
        deadline: spec.deadline.map(Timestamp::as_millis),
        resources: Some(resources_to_wire(&spec.resources)),
        members: spec.task_count,
        run_time_ms: spec.run_time.get(),
        repeatability: spec.repeatability.to_string(),
        placement: Some(placement_to_wire(&spec.placement)),
        service: spec
            .service
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        payload: spec.payload.clone(),
    }
}

/// Converts a work spec from its message.
///
/// # Errors
///
/// Returns `malformed` if the resources or the placement are missing, and `invalid_value` if a field doesn't parse.
pub fn spec_from_wire(message: &v1::WorkSpec) -> Result<WorkSpec, Refusal> {
    let missing = |name| Refusal::new(ResultCode::Malformed, format!("{name} is missing"));
    let resources = message
        .resources
        .as_ref()
        .ok_or_else(|| missing("resources"))?;
    let placement = message
        .placement
        .as_ref()
        .ok_or_else(|| missing("placement"))?;
    Ok(WorkSpec {
        kind: parse_field("kind", &message.kind)?,
        team: parse_field("team", &message.team)?,
        priority: priority_from_wire(message.priority)?,
        deadline: message.deadline.map(Timestamp::from_millis),
        resources: resources_from_wire(resources),
        task_count: message.members,
        run_time: Millis::new(message.run_time_ms),
        repeatability: parse_field("repeatability", &message.repeatability)?,
        placement: placement_from_wire(placement)?,
        service: optional_field("service", &message.service)?,
        payload: message.payload.clone(),
    })
}

fn priority_from_wire(value: u32) -> Result<Priority, Refusal> {
    parse_field("priority", &value.to_string())
}
