//! Orders on their way, and what must hold when one takes effect.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{AdviceRequest, StartRequest, StopRequest};
use lagoon_jobs::id::{Epoch, TaskKey};
use lagoon_jobs::run::{StartOutcome, StartRefusal};
use rand::Rng;

use super::late::Late;
use super::{CORES, Sim};
use crate::sim_adviser;
use crate::sim_executor::SimExecutor;
use crate::world::policy;

impl Sim {
    pub(super) fn send_start(&mut self, order: StartRequest) {
        let is_lost = !self.quiet && self.rng.random_bool(0.04);
        let is_late = !self.quiet && self.rng.random_bool(0.04);
        let silent = self.executors[order.slot.index()].is_unresponsive(self.now);
        if is_lost || is_late || silent {
            let wait = Millis::new(800);
            let epoch = Epoch::new(self.epoch);
            self.late
                .push((self.now.after(wait), Late::NoAnswer(epoch, order.clone())));
        }
        if is_late {
            let wait = Millis::new(self.rng.random_range(1_000..6_000));
            let incarnation = self.executors[order.slot.index()].incarnation();
            self.late
                .push((self.now.after(wait), Late::Start(incarnation, order)));
        } else if !silent {
            let outcome = self.start_now(&order);
            if !is_lost {
                self.dispatcher.started(&order, outcome, self.now);
            }
        }
    }

    pub(super) fn send_ask(&mut self, order: AdviceRequest) {
        let is_lost = !self.quiet && self.rng.random_bool(0.05);
        let wait = match is_lost {
            true => Millis::new(2_000),
            false => order.cost.saturating_add(Millis::new(60)),
        };
        let epoch = Epoch::new(self.epoch);
        let answer = Late::Advice(epoch, order, is_lost);
        self.late.push((self.now.after(wait), answer));
    }

    fn start_now(&mut self, order: &StartRequest) -> StartOutcome {
        let task = order.task;
        let record = &self.records[&task.job()];
        let spec = &record.spec().steps()[usize::from(task.step().step())];
        let need = spec.reserved().cpu.get() / 1_000;
        let time = Millis::new(self.rng.random_range(200..2_500));
        let time = (!spec.gang).then_some(time);
        let fails = !self.quiet && self.rng.random_bool(0.05);
        let is_advised = policy().queue(record.queue()).unwrap().advice.is_some();
        let executor = &mut self.executors[order.slot.index()];
        if is_advised && !sim_adviser::accepts(order, executor.incarnation(), self.now) {
            return StartOutcome::Refused(StartRefusal::InvalidTicket);
        }
        let outcome = executor.start(order, need, time, fails, self.now);
        if matches!(outcome, StartOutcome::Started { .. }) {
            self.check(order);
        }
        outcome
    }

    /// Returns the tasks that are done if one is: all members of a gang.
    pub(super) fn spoken_for(&self, task: TaskKey) -> Vec<TaskKey> {
        let step = task.step();
        let spec = &self.records[&task.job()].spec().steps()[usize::from(step.step())];
        match spec.gang {
            true => (0..spec.count).map(|index| step.task(index)).collect(),
            false => vec![task],
        }
    }

    /// Checks what must hold right after a run began.
    fn check(&self, order: &StartRequest) {
        let (seed, task) = (self.seed, order.task);
        let runs = self.executors.iter().filter(|e| e.runs(task)).count();
        assert!(runs <= 1, "seed {seed}: {task} runs {runs} times");
        assert!(
            !self.noted.contains(&task),
            "seed {seed}: {task} starts after its end was noted"
        );
        let mut spoken_for = self.spoken_for(task).into_iter();
        let done = spoken_for.any(|task| self.executors.iter().any(|e| e.lists_done(task)));
        assert!(
            !done,
            "seed {seed}: {task} starts although an executor lists it as done"
        );
        let executor = &self.executors[order.slot.index()];
        assert!(
            executor.used() <= CORES,
            "seed {seed}: {} holds too much",
            order.executor
        );
    }

    pub(super) fn send_stop(&mut self, order: &StopRequest) {
        let is_lost = !self.quiet && self.rng.random_bool(0.1);
        let executor = &mut self.executors[order.slot.index()];
        if !is_lost && !executor.is_unresponsive(self.now) && executor.stop(order) {
            self.dispatcher.stop_confirmed(order, self.now);
        }
    }

    pub(super) fn deliver_late(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = rest;
        let due: Vec<(Timestamp, Late)> = due;
        for (_, late) in due {
            match late {
                Late::Start(incarnation, order) => {
                    if self.executors[order.slot.index()].incarnation() == incarnation {
                        let _ = self.start_now(&order);
                    }
                }
                Late::NoAnswer(epoch, order) if epoch == Epoch::new(self.epoch) => {
                    self.dispatcher.started(&order, StartOutcome::Unknown, now);
                }
                Late::Advice(epoch, order, is_lost) if epoch == Epoch::new(self.epoch) => {
                    let incarnations: Vec<u64> = self
                        .executors
                        .iter()
                        .map(SimExecutor::incarnation)
                        .collect();
                    let answer =
                        (!is_lost).then(|| sim_adviser::advise(&order, &incarnations, now));
                    self.dispatcher
                        .advice_received(&order, answer.as_ref(), now);
                }
                Late::NoAnswer(..) | Late::Advice(..) => {}
            }
        }
    }
}
