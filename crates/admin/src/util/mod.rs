//! Helpers shared by the modules of this crate.

mod missing_source;
mod versions;

pub(crate) use self::{missing_source::MissingSource, versions::Versions};

use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::PlatformError;

/// Returns a `store_unavailable` refusal for a store call that had no effect.
pub(crate) fn store_unavailable(e: &PlatformError) -> Refusal {
    let text = format!("the store is unavailable: {e}");
    Refusal::new(ResultCode::StoreUnavailable, text)
}
