use std::collections::BTreeMap;

use serde::Serialize;

use crate::report::{Check, ClassRow, Cost, Measures};

/// Results of one run of a scenario under one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ScenarioReport {
    /// Scenario.
    pub scenario: String,
    /// Case within the scenario.
    pub case: String,
    /// Policy under test.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Results by class of work.
    pub rows: Vec<ClassRow>,
    /// Assigned share of the dominant resource when feasible work was first refused for lack of room.
    pub first_refusal_share: Option<f64>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Wall-clock costs.
    pub costs: Vec<Cost>,
    /// Starts per second of wall-clock time spent in the policy.
    pub starts_per_busy_second: Option<f64>,
    /// Further figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Lines for plots: points by name.
    pub series: BTreeMap<String, Vec<(f64, f64)>>,
    /// Targets next to what was measured.
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

    /// Takes the results of a run in virtual time.
    pub(crate) fn with_measures(mut self, measures: &Measures) -> Self {
        self.rows = measures.rows();
        self.first_refusal_share = measures.first_refusal_share;
        self.refusals = measures.refusals();
        self.series = measures.series();
        self.costs = measures.costs();
        self.starts_per_busy_second = Some(measures.starts_per_busy_second());
        let figures = [
            ("store calls", measures.store_calls),
            ("cancelled", measures.cancelled),
            ("starts that did not fit", measures.did_not_fit),
        ];
        for (name, value) in figures {
            self.figures.insert(name.to_owned(), value as f64);
        }
        self
    }
}
