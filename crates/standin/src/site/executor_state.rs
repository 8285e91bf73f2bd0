use std::collections::BTreeMap;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::site::payload::Payload;
use crate::site::run_log::RunLog;

/// Maximum lease that an executor grants, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// State of one incarnation of an executor.
#[derive(Debug)]
pub(super) struct ExecutorState {
    pub(super) id: String,
    pub(super) incarnation: u64,
    capacity_cpu: u64,
    started_at: Instant,
    fence: u64,
    lease_expires_ms: u64,
    running: BTreeMap<String, ActiveRun>,
    highest_run: BTreeMap<String, u64>,
    ended_runs: Vec<(u64, String, u64, &'static str, String)>,
    next_end_sequence: u64,
    log: RunLog,
}

#[derive(Debug)]
struct ActiveRun {
    run: u64,
    cpu: u64,
    payload: Payload,
    started_at: Instant,
}

impl ExecutorState {
    pub(super) fn new(id: &str, incarnation: u64, capacity_cpu: u64, log: RunLog) -> Self {
        Self {
            id: id.to_owned(),
            incarnation,
            capacity_cpu,
            started_at: Instant::now(),
            fence: 0,
            lease_expires_ms: 0,
            running: BTreeMap::new(),
            highest_run: BTreeMap::new(),
            ended_runs: Vec::new(),
            next_end_sequence: 1,
            log,
        }
    }

    pub(super) fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    /// Raises the fence to `token`. Returns false if a higher token was seen, so that the caller is an earlier owner.
    pub(super) fn raise_fence(&mut self, token: u64) -> bool {
        self.fence = self.fence.max(token);
        token >= self.fence
    }

    pub(super) fn extend_lease(&mut self, expires_ms: u64) {
        let max_expires_ms = self.clock_ms() + MAX_LEASE_MS;
        self.lease_expires_ms = self.lease_expires_ms.max(expires_ms.min(max_expires_ms));
    }

    pub(super) fn start(
        &mut self,
        task: &str,
        run: u64,
        payload: &str,
        cpu: u64,
        expires_ms: u64,
    ) -> Result<(), &'static str> {
        self.end_due_runs();
        if self
            .running
            .get(task)
            .is_some_and(|running| running.run == run)
        {
            return Ok(());
        }
        if self
            .highest_run
            .get(task)
            .is_some_and(|highest_run| run <= *highest_run)
        {
            return Err("old");
        }
        if expires_ms <= self.clock_ms() {
            return Err("late");
        }
        self.extend_lease(expires_ms);
        let allocated_cpu: u64 = self.running.values().map(|running| running.cpu).sum();
        if allocated_cpu + cpu > self.capacity_cpu {
            self.log
                .record_violation(format!("{task}: does not fit on {}", self.id));
        }
        self.log.record_start(task, run, &self.id);
        let running = ActiveRun {
            run,
            cpu,
            payload: Payload::parse(payload),
            started_at: Instant::now(),
        };
        self.running.insert(task.to_owned(), running);
        Ok(())
    }

    pub(super) fn stop(&mut self, task: &str, run: u64) {
        self.end_due_runs();
        let highest_run = self.highest_run.entry(task.to_owned()).or_default();
        *highest_run = run.max(*highest_run);
        if self
            .running
            .get(task)
            .is_some_and(|running| running.run <= run)
        {
            self.end(task, "stopped");
        }
    }

    pub(super) fn acknowledge(&mut self, up_to: u64) {
        self.ended_runs.retain(|(number, ..)| *number > up_to);
    }

    /// Ends the runs that have reached their run time, and all runs if the lease has expired.
    pub(super) fn end_due_runs(&mut self) {
        let is_expired = self.clock_ms() > self.lease_expires_ms;
        let is_finished =
            |running: &ActiveRun| running.started_at.elapsed() >= running.payload.run_time;
        let due: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter(|(_, running)| is_expired || is_finished(running))
            .map(|(task, running)| {
                let outcome = match (is_finished(running), running.payload.fails) {
                    (false, _) => "lapsed",
                    (true, true) => "failed",
                    (true, false) => "done",
                };
                (task.clone(), outcome)
            })
            .collect();
        for (task, outcome) in due {
            self.end(&task, outcome);
        }
    }

    pub(super) fn has_ended_runs(&self) -> bool {
        !self.ended_runs.is_empty()
    }

    /// Ends all runs, like a crash of the process.
    pub(super) fn crash(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "crashed");
        }
    }

    pub(super) fn hold_response(&mut self) -> Value {
        self.end_due_runs();
        let row = |(task, running): (&String, &ActiveRun)| {
            let total_ms = running.payload.run_time.as_millis().max(1);
            let percent =
                (running.started_at.elapsed().as_millis() * 100 / total_ms).min(99) as u64;
            json!([task, running.run, "", percent])
        };
        let running: Vec<Value> = self.running.iter().map(row).collect();
        json!({
            "timestamp_ms": self.clock_ms(),
            "born": self.incarnation,
            "running": running,
            "ended": self.ended_runs,
        })
    }

    fn end(&mut self, task: &str, outcome: &'static str) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        let highest_run = self.highest_run.entry(task.to_owned()).or_default();
        *highest_run = running.run.max(*highest_run);
        self.log.record_end(task, running.run, &self.id, outcome);
        self.ended_runs.push((
            self.next_end_sequence,
            task.to_owned(),
            running.run,
            outcome,
            String::new(),
        ));
        self.next_end_sequence += 1;
    }
}
