use lagoon_core::Refusal;
use lagoon_core::work::PlacementPolicy;

use crate::convert::{parse_field, parse_list};
use crate::v1;

/// Converts a placement policy to its message.
pub fn placement_to_wire(placement: &PlacementPolicy) -> v1::PlacementPolicy {
    v1::PlacementPolicy {
        spread: placement.spread.to_string(),
        racks: placement.racks.iter().map(ToString::to_string).collect(),
        domains: placement.domains.iter().map(ToString::to_string).collect(),
    }
}

/// Converts a placement policy from its message.
///
/// # Errors
///
/// Returns `invalid_value` if the spread, a rack or a failure domain doesn't parse.
pub fn placement_from_wire(message: &v1::PlacementPolicy) -> Result<PlacementPolicy, Refusal> {
    Ok(PlacementPolicy {
        spread: parse_field("placement.spread", &message.spread)?,
        racks: parse_list("placement.racks", &message.racks)?,
        domains: parse_list("placement.domains", &message.domains)?,
    })
}
