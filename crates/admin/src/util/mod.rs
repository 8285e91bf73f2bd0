//! Private helpers.

mod missing;
mod versions;

pub(crate) use self::{missing::Missing, versions::Versions};

use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::PlatformError;

/// Refuses because the store did not answer, so that nothing took effect.
pub(crate) fn store_down(e: &PlatformError) -> Refusal {
    let text = format!("the store does not answer: {e}");
    Refusal::new(ResultCode::StoreUnavailable, text)
}
