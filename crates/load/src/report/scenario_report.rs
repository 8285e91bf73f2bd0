use std::collections::BTreeMap;

use serde::Serialize;

use crate::report::{Check, ClassRow, Cost, Measurements};

/// Results of one run of a scenario under one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the case within the scenario.
    pub case: String,
    /// Name of the policy under test.
    pub policy: String,
    /// Seed of all random sources.
    pub seed: u64,
    /// Results by class of work.
    pub rows: Vec<ClassRow>,
    /// Allocated share of the dominant resource when feasible work was first refused for lack of capacity.
    pub first_refusal_share: Option<f64>,
    /// Number of refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Wall-clock costs.
    pub costs: Vec<Cost>,
    /// Starts per second of wall-clock time spent in the policy.
    pub starts_per_busy_second: Option<f64>,
    /// Further figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Data points of plots, by name of the line.
    pub series: BTreeMap<String, Vec<(f64, f64)>>,
    /// Targets and measured results.
    pub checks: Vec<Check>,
}

impl ScenarioReport {
    pub(crate) fn new(scenario: &str, case: &str, policy: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.to_owned(),
            case: case.to_owned(),
            policy: policy.to_owned(),
            seed,
            ..Self::default()
        }
    }

    /// Adds the measurements of a run in virtual time.
    pub(crate) fn with_measurements(mut self, measurements: &Measurements) -> Self {
        self.rows = measurements.rows();
        self.first_refusal_share = measurements.first_refusal_share;
        self.refusals = measurements.refusals();
        self.series = measurements.series();
        self.costs = measurements.costs();
        self.starts_per_busy_second = Some(measurements.starts_per_busy_second());
        let figures = [
            ("store calls", measurements.store_calls),
            ("cancelled", measurements.cancelled),
            ("starts that did not fit", measurements.did_not_fit),
        ];
        for (name, value) in figures {
            self.figures.insert(name.to_owned(), value as f64);
        }
        self
    }
}
