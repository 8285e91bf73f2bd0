use lagoon_core::unit::{Millis, Timestamp};
use serde::Serialize;

use crate::schedulers::SchedulerReport;

/// A source of a query's rows and the age of its data.
#[derive(Debug, Serialize)]
pub(crate) struct SourceAge {
    process: String,
    address: String,
    age_ms: Millis,
}

impl SourceAge {
    pub(crate) fn new(process: impl ToString, address: impl ToString, age: Millis) -> Self {
        Self {
            process: process.to_string(),
            address: address.to_string(),
            age_ms: age,
        }
    }

    pub(crate) fn of(report: &SchedulerReport, now: Timestamp) -> Self {
        Self::new(
            &report.response.process,
            report.address,
            now.since(report.received_at),
        )
    }
}
