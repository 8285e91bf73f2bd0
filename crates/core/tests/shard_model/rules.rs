use std::collections::{HashMap, HashSet};

use lagoon_core::id::TaskId;
use lagoon_core::work::{Repeatability, WorkSpec};

/// What must hold, judged by what the workers and the executor see. Work is told apart by its payload.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    runs: HashMap<String, u32>,
    running: HashMap<(String, u32), usize>,
    not_run: HashSet<String>,
}

impl Rules {
    /// A member of a job starts on a worker.
    pub(crate) fn start(&mut self, task: &TaskId, spec: &WorkSpec, worker: usize) {
        let (payload, member) = (spec.payload.clone(), task.index().get());
        assert!(
            !self.not_run.contains(&payload),
            "{payload} starts after it was refused as not run"
        );
        let place = (payload.clone(), member);
        let before = self.running.insert(place, worker);
        assert_eq!(
            before, None,
            "member {member} of {payload} runs in two places"
        );
        let runs = self.runs.entry(format!("{payload}/{member}")).or_default();
        *runs += 1;
        let once = spec.repeatability == Repeatability::AtMostOnce;
        assert!(
            !once || *runs == 1,
            "member {member} of {payload} ran {runs} times"
        );
    }

    /// A member runs no more.
    pub(crate) fn stop(&mut self, task: &TaskId, payload: &str) {
        self.running
            .remove(&(payload.to_owned(), task.index().get()));
    }

    /// A request runs at the executor.
    pub(crate) fn request(&mut self, payload: &str) {
        assert!(
            !self.not_run.contains(payload),
            "{payload} runs after it was refused as not run"
        );
        let runs = self.runs.entry(payload.to_owned()).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{payload} ran {runs} times");
    }

    /// A caller is told that the work did not run and will not.
    pub(crate) fn refused(&mut self, payload: &str) {
        let ran = self.runs.keys().any(|known| {
            known == payload
                || known
                    .strip_prefix(payload)
                    .is_some_and(|rest| rest.starts_with('/'))
        });
        assert!(!ran, "{payload} ran and was refused as not run");
        self.not_run.insert(payload.to_owned());
    }

    /// A caller sends work once more under its key. A refusal that it got before was about the earlier attempt.
    pub(crate) fn asked_again(&mut self, payload: &str) {
        self.not_run.remove(payload);
    }

    pub(crate) fn total_runs(&self) -> u32 {
        self.runs.values().sum()
    }
}
