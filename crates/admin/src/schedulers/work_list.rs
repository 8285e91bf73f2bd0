use lagoon_wire::v1;

use crate::util::MissingSource;

/// Live work of all shards whose owners responded.
#[derive(Debug, Default)]
pub(crate) struct WorkList {
    pub(crate) works: Vec<v1::WorkStatus>,
    pub(crate) missing: Vec<MissingSource>,
}
