use std::collections::{HashMap, HashSet};

use lagoon_core::id::TaskId;
use lagoon_core::work::{Repeatability, WorkSpec};

/// Invariants of the whole system, checked on the events at workers and at the executor. Work is identified by its
/// payload.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    runs: HashMap<String, u32>,
    running: HashMap<(String, u32), usize>,
    not_run: HashSet<String>,
}

impl Invariants {
    /// Records the start of a task on a worker. Panics if the work was refused as not run, if the task runs already, or
    /// if it is at-most-once work that ran before.
    pub(crate) fn on_start(&mut self, task: &TaskId, spec: &WorkSpec, worker: usize) {
        let (payload, index) = (spec.payload.clone(), task.index().get());
        assert!(
            !self.not_run.contains(&payload),
            "{payload} starts after it was refused as not run"
        );
        let key = (payload.clone(), index);
        let before = self.running.insert(key, worker);
        assert_eq!(before, None, "task {index} of {payload} runs in two places");
        let runs = self.runs.entry(format!("{payload}/{index}")).or_default();
        *runs += 1;
        let once = spec.repeatability == Repeatability::AtMostOnce;
        assert!(
            !once || *runs == 1,
            "task {index} of {payload} ran {runs} times"
        );
    }

    /// Records that a task has stopped.
    pub(crate) fn on_stop(&mut self, task: &TaskId, payload: &str) {
        self.running
            .remove(&(payload.to_owned(), task.index().get()));
    }

    /// Records a request that runs at the executor. Panics if it was refused as not run or ran before.
    pub(crate) fn on_request(&mut self, payload: &str) {
        assert!(
            !self.not_run.contains(payload),
            "{payload} runs after it was refused as not run"
        );
        let runs = self.runs.entry(payload.to_owned()).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{payload} ran {runs} times");
    }

    /// Records that a caller was told that the work did not run and never will. Panics if it ran.
    pub(crate) fn on_refused(&mut self, payload: &str) {
        let ran = self.runs.keys().any(|known| {
            known == payload
                || known
                    .strip_prefix(payload)
                    .is_some_and(|rest| rest.starts_with('/'))
        });
        assert!(!ran, "{payload} ran and was refused as not run");
        self.not_run.insert(payload.to_owned());
    }

    /// Records that a caller submits keyed work again. An earlier refusal was about the earlier attempt and no longer
    /// binds.
    pub(crate) fn on_resubmitted(&mut self, payload: &str) {
        self.not_run.remove(payload);
    }

    pub(crate) fn total_runs(&self) -> u32 {
        self.runs.values().sum()
    }
}
