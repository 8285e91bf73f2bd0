use serde::{Deserialize, Serialize};

use crate::audit::Record;

/// Segment of the trail: the value of one key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Segment {
    pub(super) records: Vec<Record>,
}
