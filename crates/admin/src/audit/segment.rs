use serde::{Deserialize, Serialize};

use crate::audit::Record;

/// Value of one key of the trail.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Segment {
    pub(super) records: Vec<Record>,
}
