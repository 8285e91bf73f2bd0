use std::collections::HashMap;

use lagoon_core::unit::Millis;
use smallvec::SmallVec;

use crate::id::QueueName;
use crate::spec::JobSpec;

/// Weight of a new measurement in the moving average, which follows a change within about ten runs.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Moving averages of the run times of tasks, by queue. They replace the callers' estimates, which are off by up to a
/// factor of ten.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    means: HashMap<QueueName, f64>,
}

impl RunTimes {
    /// Records the run time of a task.
    pub fn record(&mut self, queue: &QueueName, time: Millis) {
        let time = time.get() as f64;
        let mean = self.means.entry(queue.clone()).or_insert(time);
        *mean += (time - *mean) * SMOOTHING_FACTOR;
    }

    /// Returns the expected run time of a task: the average of its queue, or `declared` if there is none yet.
    pub fn expected(&self, queue: &QueueName, declared: Millis) -> Millis {
        match self.means.get(queue) {
            Some(mean) => Millis::new(*mean as u64),
            None => declared,
        }
    }

    /// Returns the expected time of the longest chain of dependent steps.
    pub fn critical_path(&self, queue: &QueueName, spec: &JobSpec) -> Millis {
        let critical_path = |first| self.critical_path_from(queue, spec, first);
        (0..spec.steps().len() as u16)
            .map(critical_path)
            .max()
            .unwrap_or_default()
    }

    /// Returns the expected time of the longest chain of dependent steps that begins with step `first`.
    pub fn critical_path_from(&self, queue: &QueueName, spec: &JobSpec, first: u16) -> Millis {
        let first = usize::from(first);
        // End of each step from `first` on; `None` if it does not depend on `first`.
        let mut ends: SmallVec<[Option<Millis>; 8]> = SmallVec::new();
        let mut longest = Millis::ZERO;
        for (number, step) in spec.steps().iter().enumerate().skip(first) {
            let before = |i: &u16| *ends.get(usize::from(*i).checked_sub(first)?)?;
            let begin = match number == first {
                true => Some(Millis::ZERO),
                false => step.after.iter().filter_map(before).max(),
            };
            let end = begin.map(|at| at.saturating_add(self.expected(queue, step.estimate)));
            longest = longest.max(end.unwrap_or_default());
            ends.push(end);
        }
        longest
    }
}
