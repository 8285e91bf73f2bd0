use std::collections::HashMap;

use lagoon_core::unit::Millis;

use crate::id::QueueName;
use crate::spec::JobSpec;

/// Weight of a new measurement against the mean so far. A run time of a queue settles after about ten runs.
const WEIGHT: f64 = 0.1;

/// Mean run times of tasks by queue, learned from their ends. Callers' estimates are off by up to a factor of ten.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    means: HashMap<QueueName, f64>,
}

impl RunTimes {
    /// Takes in the time that a task ran.
    pub fn learn(&mut self, queue: &QueueName, time: Millis) {
        let time = time.get() as f64;
        let mean = self.means.entry(queue.clone()).or_insert(time);
        *mean += (time - *mean) * WEIGHT;
    }

    /// Returns the expected time of a task; what the caller declared as long as nothing was learned.
    pub fn expect(&self, queue: &QueueName, declared: Millis) -> Millis {
        match self.means.get(queue) {
            Some(mean) => Millis::new(*mean as u64),
            None => declared,
        }
    }

    /// Returns the expected time of the longest chain of steps.
    pub fn chain(&self, queue: &QueueName, spec: &JobSpec) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps().len());
        for step in spec.steps() {
            let begin = step.after.iter().map(|i| ends[usize::from(*i)]).max();
            let time = self.expect(queue, step.estimate).get();
            ends.push(begin.unwrap_or(0) + time);
        }
        Millis::new(ends.into_iter().max().unwrap_or(0))
    }
}
