//! Private helpers.

mod missing;
mod sharded;
mod versions;

pub(crate) use self::{missing::Missing, sharded::Sharded, versions::Versions};

use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::PlatformError;

/// Refuses because the store did not do what was asked for, and certainly changed nothing.
pub(crate) fn store_down(e: &PlatformError) -> Refusal {
    let text = format!("the store does not answer, nothing is changed: {e}");
    Refusal::new(ResultCode::StoreUnavailable, text)
}
