use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::site::RunRecord;

/// Log of all runs on all executors, and of the safety violations among them.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    starts: Vec<RunRecord>,
    violations: Vec<String>,
}

impl RunLog {
    pub(super) fn record_start(&self, task: &str, run: u64, executor: &str) {
        let mut inner = self.lock();
        let previous = inner.starts.iter().filter(|entry| entry.task == task);
        let active = previous.clone().find(|entry| entry.ended.is_none());
        let finished = previous
            .clone()
            .find(|entry| matches!(entry.ended, Some((_, "done"))));
        let violation = match (active, finished) {
            (Some(other), _) => Some(format!(
                "{task}: runs on {} and on {executor}",
                other.executor
            )),
            (None, Some(other)) => Some(format!(
                "{task}: starts on {executor} after it was done on {}",
                other.executor
            )),
            (None, None) => None,
        };
        inner.violations.extend(violation);
        inner.starts.push(RunRecord {
            task: task.to_owned(),
            run,
            executor: executor.to_owned(),
            started_at: Instant::now(),
            ended: None,
        });
    }

    pub(super) fn record_end(&self, task: &str, run: u64, executor: &str, outcome: &'static str) {
        let mut inner = self.lock();
        let found = inner
            .starts
            .iter_mut()
            .find(|entry| entry.task == task && entry.run == run && entry.executor == executor);
        if let Some(entry) = found {
            entry.ended.get_or_insert((Instant::now(), outcome));
        }
    }

    pub(super) fn record_violation(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Returns descriptions of all safety violations.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns all runs, ended or not, in order of their start.
    pub fn starts(&self) -> Vec<RunRecord> {
        self.lock().starts.clone()
    }

    /// Returns the number of successful runs by task.
    pub fn done_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for entry in &self.lock().starts {
            if matches!(entry.ended, Some((_, "done"))) {
                *counts.entry(entry.task.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
