//! Delivery of requests, and the invariants that are checked when a start takes effect.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{AdviceRequest, StartRequest, StopRequest};
use lagoon_jobs::id::{Epoch, Incarnation, TaskKey};
use lagoon_jobs::run::{StartOutcome, StartRefusal};
use rand::Rng;

use super::delayed_event::DelayedEvent;
use super::{CORES, Sim, draw_run_time};
use crate::harness::policy;
use crate::sim_adviser;
use crate::sim_executor::SimExecutor;

impl Sim {
    pub(super) fn send_start(&mut self, request: StartRequest) {
        let mute = self.executors[request.slot.index()].is_mute(self.now);
        let is_lost = mute || !self.fault_free && self.rng.random_bool(0.04);
        let delayed = if self.has_long_running { 0.12 } else { 0.04 };
        let is_delayed = !self.fault_free && self.rng.random_bool(delayed);
        let unresponsive = self.executors[request.slot.index()].is_unresponsive(self.now);
        let connection = self.draw_connection(request.slot.index());
        let incarnation = self.executors[request.slot.index()].incarnation();
        let live = Some(Incarnation::new(incarnation));
        if connection.is_none() && request.incarnation != live {
            // A new connection is used only once the executor has named its incarnation.
            if !self.executors[request.slot.index()].is_unresponsive(self.now) {
                self.dispatcher
                    .identified(request.slot, live, self.now, self.now);
            }
            let withheld = StartOutcome::Withheld;
            return self.dispatcher.started(&request, withheld, self.now);
        }
        // A later incarnation reads nothing from a connection to an earlier one.
        let is_stale = connection.is_some_and(|kept| kept.incarnation != incarnation);
        let unresponsive = unresponsive || is_stale;
        if is_lost || is_delayed || unresponsive {
            let wait = Millis::new(800);
            let epoch = Epoch::new(self.epoch);
            self.delayed.push((
                self.now.after(wait),
                DelayedEvent::StartTimeout(epoch, request.clone(), connection),
            ));
        }
        if is_delayed && !is_stale {
            let wait = Millis::new(self.rng.random_range(1_000..12_000));
            self.delayed.push((
                self.now.after(wait),
                DelayedEvent::Start(incarnation, request),
            ));
        } else if !unresponsive {
            let outcome = self.start_now(&request);
            if !is_lost {
                self.dispatcher.started(&request, outcome, self.now);
            }
        }
    }

    pub(super) fn send_advice_request(&mut self, request: AdviceRequest) {
        let is_lost = !self.fault_free && self.rng.random_bool(0.05);
        let wait = match is_lost {
            true => Millis::new(2_000),
            false => request.cost.saturating_add(Millis::new(60)),
        };
        let epoch = Epoch::new(self.epoch);
        let answer = DelayedEvent::Advice(epoch, request, is_lost);
        self.delayed.push((self.now.after(wait), answer));
    }

    pub(super) fn start_now(&mut self, request: &StartRequest) -> StartOutcome {
        let task = request.task;
        let record = &self.records[&task.job()];
        let spec = &record.spec().steps()[usize::from(task.step().step())];
        let need = spec.reserved().cpu.get() / 1_000;
        let (is_gang, long_running) = (spec.gang, spec.long_running);
        let is_advised = policy().queue(record.queue()).unwrap().advice.is_some();
        let time = draw_run_time(&mut self.rng);
        let time = (!is_gang).then_some(time);
        let fails = !self.fault_free && self.rng.random_bool(0.05);
        let (time, fails) = match long_running {
            true => (Some(self.draw_time_to_failure()), true),
            false => (time, fails),
        };
        let executor = &mut self.executors[request.slot.index()];
        if is_advised && !sim_adviser::accepts(request, executor.incarnation(), self.now) {
            return StartOutcome::Refused(StartRefusal::Ticket);
        }
        let outcome = executor.start(request, need, time, fails, self.now);
        if matches!(outcome, StartOutcome::Started { .. }) {
            self.check(request);
        }
        outcome
    }

    /// Returns the tasks that are done if one is: all tasks of a gang.
    pub(super) fn tasks_done_together(&self, task: TaskKey) -> Vec<TaskKey> {
        let step = task.step();
        let spec = &self.records[&task.job()].spec().steps()[usize::from(step.step())];
        match spec.gang {
            true => (0..spec.count).map(|index| step.task(index)).collect(),
            false => vec![task],
        }
    }

    /// Notes the tasks whose ends a hold has acknowledged as done.
    pub(super) fn note_acknowledged(&mut self, done: Vec<TaskKey>) {
        for task in done {
            let done = self.tasks_done_together(task);
            self.acknowledged_done.extend(done);
        }
    }

    /// Checks the invariants right after a start.
    fn check(&self, request: &StartRequest) {
        let (seed, task) = (self.seed, request.task);
        let runs = self.executors.iter().filter(|e| e.runs(task)).count();
        assert!(
            runs <= 1,
            "seed {seed}: {task} has {runs} runs at the same time"
        );
        assert!(
            !self.acknowledged_done.contains(&task),
            "seed {seed}: {task} starts after its end was acknowledged as done"
        );
        let mut tasks = self.tasks_done_together(task).into_iter();
        let done = tasks.any(|task| self.executors.iter().any(|e| e.lists_done(task)));
        assert!(
            !done,
            "seed {seed}: {task} starts although an executor lists it as done"
        );
        let executor = &self.executors[request.slot.index()];
        let spec = &self.records[&task.job()].spec().steps()[usize::from(task.step().step())];
        assert!(
            spec.requires
                .as_ref()
                .is_none_or(|label| *label == executor.kind().label()),
            "seed {seed}: {task} starts on {}, which lacks the label that it requires",
            request.executor
        );
        assert!(
            executor.used() <= CORES,
            "seed {seed}: the runs on {} exceed its capacity",
            request.executor
        );
    }

    pub(super) fn send_stop(&mut self, request: &StopRequest) {
        let is_lost = !self.fault_free && self.rng.random_bool(0.1);
        let executor = &mut self.executors[request.slot.index()];
        if !is_lost
            && !executor.is_unresponsive(self.now)
            && executor.stop(request)
            && !executor.is_mute(self.now)
        {
            self.dispatcher.stop_confirmed(request, self.now);
        }
    }

    pub(super) fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed = rest;
        let due: Vec<(Timestamp, DelayedEvent)> = due;
        for (_, delayed) in due {
            match delayed {
                DelayedEvent::Start(incarnation, request) => {
                    if self.executors[request.slot.index()].incarnation() == incarnation {
                        let _ = self.start_now(&request);
                    }
                }
                DelayedEvent::StartTimeout(epoch, request, connection)
                    if epoch == Epoch::new(self.epoch) =>
                {
                    let connection_age = self.age(connection);
                    self.dispatcher.started(
                        &request,
                        StartOutcome::Unknown { connection_age },
                        now,
                    );
                }
                DelayedEvent::Advice(epoch, request, is_lost)
                    if epoch == Epoch::new(self.epoch) =>
                {
                    let incarnations: Vec<u64> = self
                        .executors
                        .iter()
                        .map(SimExecutor::incarnation)
                        .collect();
                    let answer =
                        (!is_lost).then(|| sim_adviser::advise(&request, &incarnations, now));
                    self.dispatcher
                        .advice_received(&request, answer.as_ref(), now);
                }
                DelayedEvent::Entry(i) => self.write_entry(i),
                DelayedEvent::StartTimeout(..) | DelayedEvent::Advice(..) => {}
            }
        }
    }
}
