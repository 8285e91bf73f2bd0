use lagoon_core::Refusal;
use lagoon_core::work::PlacementPolicy;

use crate::convert::{parse_field, parse_list};
use crate::v1;

/// Converts to the message.
pub fn placement_to_wire(placement: &PlacementPolicy) -> v1::PlacementPolicy {
    v1::PlacementPolicy {
        spread: placement.spread.to_string(),
        racks: placement.racks.iter().map(ToString::to_string).collect(),
        domains: placement.domains.iter().map(ToString::to_string).collect(),
    }
}

/// Converts from the message.
///
/// # Errors
///
/// `invalid_value` for a spread, rack or failure domain that doesn't parse.
pub fn placement_from_wire(message: &v1::PlacementPolicy) -> Result<PlacementPolicy, Refusal> {
    Ok(PlacementPolicy {
        spread: parse_field("placement.spread", &message.spread)?,
        racks: parse_list("placement.racks", &message.racks)?,
        domains: parse_list("placement.domains", &message.domains)?,
    })
}
