//! Simulated gangs. The tasks of a gang work from the moment when all tasks of one run are present, and end together.

use std::collections::BTreeMap;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::id::{RunNumber, StepKey, TaskKey};
use lagoon_jobs::run::RunOutcome;

use crate::sim_executor::SimExecutor;

/// Time for which a gang task waits for the others.
const GANG_WAIT: Millis = Millis::new(3_000);

/// State of the gang runs that are complete, shared by the executors.
#[derive(Debug, Default)]
pub(crate) struct SimGangs {
    complete: BTreeMap<(StepKey, RunNumber), (Timestamp, bool)>,
}

impl SimGangs {
    /// Starts, ends and aborts gangs. `draw` returns the run time of a gang that has become complete and whether it
    /// fails, `count` the number of tasks of a step.
    pub(crate) fn advance(
        &mut self,
        executors: &mut [SimExecutor],
        count: impl Fn(StepKey) -> u32,
        mut draw: impl FnMut() -> (Millis, bool),
        now: Timestamp,
    ) {
        for ((step, number), tasks) in present_tasks(executors) {
            let is_complete = tasks.len() as u32 == count(step);
            let state = self.complete.get(&(step, number)).copied();
            match state {
                None if is_complete => {
                    let (time, fails) = draw();
                    self.complete
                        .insert((step, number), (now.after(time), fails));
                }
                None => {
                    for (executor, task, since) in tasks {
                        if now.since(since) >= GANG_WAIT {
                            executors[executor].end(task, RunOutcome::GangIncomplete);
                        }
                    }
                }
                Some((ends_at, fails)) if is_complete => {
                    if ends_at <= now {
                        end_all(executors, &tasks, fails);
                    }
                }
                Some(_) => {
                    for (executor, task, _) in tasks {
                        executors[executor].end(task, RunOutcome::GangBroken);
                    }
                }
            }
        }
    }
}

type PresentTasks = Vec<(usize, TaskKey, Timestamp)>;

fn present_tasks(executors: &[SimExecutor]) -> BTreeMap<(StepKey, RunNumber), PresentTasks> {
    let mut runs: BTreeMap<(StepKey, RunNumber), PresentTasks> = BTreeMap::new();
    for (i, executor) in executors.iter().enumerate() {
        for (task, number, since) in executor.gang_tasks() {
            let run = runs.entry((task.step(), number)).or_default();
            run.push((i, task, since));
        }
    }
    runs
}

fn end_all(executors: &mut [SimExecutor], tasks: &PresentTasks, fails: bool) {
    for (place, (executor, task, _)) in tasks.iter().enumerate() {
        let outcome = match (fails, place) {
            (false, _) => RunOutcome::Done,
            (true, 0) => RunOutcome::Failed,
            (true, _) => RunOutcome::GangBroken,
        };
        executors[*executor].end(*task, outcome);
    }
}
