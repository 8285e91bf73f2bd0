use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::util::lock;
use crate::workers::Violation;

/// Number of violations that are kept; later ones are only counted.
const MAX_KEPT_VIOLATIONS: usize = 100;

/// Violations detected by the workers on one server.
#[derive(Debug, Default)]
pub(crate) struct Violations(Mutex<ViolationsResponse>);

/// Response to `GET /violations`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationsResponse {
    /// Total number of violations.
    pub count: u64,
    /// The first violations, up to a limit.
    pub violations: Vec<Violation>,
}

impl Violations {
    pub(crate) fn add(&self, violation: Violation) {
        let Violation { worker, task, what } = &violation;
        tracing::error!("standin: violation on worker {worker}, task {task}: {what}");
        let mut kept = lock(&self.0);
        kept.count += 1;
        if kept.violations.len() < MAX_KEPT_VIOLATIONS {
            kept.violations.push(violation);
        }
    }

    pub(crate) fn snapshot(&self) -> ViolationsResponse {
        lock(&self.0).clone()
    }
}
