use serde::{Deserialize, Serialize};

use crate::id::{ExecutorId, Incarnation};

/// Incarnation of an executor in which a run takes place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLocation {
    /// Id of the executor.
    #[serde(rename = "e")]
    pub executor: ExecutorId,
    /// Its incarnation.
    #[serde(rename = "b")]
    pub incarnation: Incarnation,
}
