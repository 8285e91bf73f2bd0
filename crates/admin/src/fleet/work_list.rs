use lagoon_wire::v1;

use crate::util::Missing;

/// Live work of all shards that answered.
#[derive(Debug, Default)]
pub(crate) struct WorkList {
    pub(crate) works: Vec<v1::WorkStatus>,
    pub(crate) missing: Vec<Missing>,
}
