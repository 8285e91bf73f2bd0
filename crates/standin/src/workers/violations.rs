use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::util::lock;
use crate::workers::Violation;

/// Violations that are kept in full; later ones are only counted.
const MAX_KEPT: usize = 100;

/// Violations seen by the workers of one server.
#[derive(Debug, Default)]
pub(crate) struct Violations(Mutex<ViolationsResponse>);

/// Answer to `GET /violations`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationsResponse {
    /// Number of all violations.
    pub count: u64,
    /// The first ones.
    pub violations: Vec<Violation>,
}

impl Violations {
    pub(crate) fn add(&self, violation: Violation) {
        let Violation { worker, task, what } = &violation;
        tracing::error!("standin: violation on worker {worker}, task {task}: {what}");
        let mut all = lock(&self.0);
        all.count += 1;
        if all.violations.len() < MAX_KEPT {
            all.violations.push(violation);
        }
    }

    pub(crate) fn answer(&self) -> ViolationsResponse {
        lock(&self.0).clone()
    }
}
