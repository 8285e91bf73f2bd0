use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::site::RunRecord;

/// Everything that ran, and what must never happen.
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
    pub(super) fn began(&self, task: &str, run: u64, executor: &str) {
        let mut inner = self.lock();
        let others = inner.starts.iter().filter(|entry| entry.task == task);
        let clash = others.clone().find(|entry| entry.ended.is_none());
        let done = others
            .clone()
            .find(|entry| matches!(entry.ended, Some((_, "done"))));
        let problem = match (clash, done) {
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
        inner.violations.extend(problem);
        inner.starts.push(RunRecord {
            task: task.to_owned(),
            run,
            executor: executor.to_owned(),
            started_at: Instant::now(),
            ended: None,
        });
    }

    pub(super) fn ended(&self, task: &str, run: u64, executor: &str, how: &'static str) {
        let mut inner = self.lock();
        let found = inner
            .starts
            .iter_mut()
            .find(|entry| entry.task == task && entry.run == run && entry.executor == executor);
        if let Some(entry) = found {
            entry.ended.get_or_insert((Instant::now(), how));
        }
    }

    pub(super) fn violation(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Returns what happened that must never happen.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns every run.
    pub fn starts(&self) -> Vec<RunRecord> {
        self.lock().starts.clone()
    }

    /// Returns how often each task ended well.
    pub fn done_counts(&self) -> HashMap<String, u32> {
        let mut done = HashMap::new();
        for entry in &self.lock().starts {
            if matches!(entry.ended, Some((_, "done"))) {
                *done.entry(entry.task.clone()).or_default() += 1;
            }
        }
        done
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
