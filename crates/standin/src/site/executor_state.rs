use std::collections::BTreeMap;

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::site::payload::Payload;
use crate::site::run_log::RunLog;

/// Longest lease that an executor grants, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// What one life of an executor knows.
#[derive(Debug)]
pub(super) struct ExecutorState {
    pub(super) id: String,
    pub(super) born: u64,
    capacity_cpu: u64,
    began: Instant,
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Running>,
    highest: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    log: RunLog,
}

#[derive(Debug)]
struct Running {
    run: u64,
    cpu: u64,
    payload: Payload,
    began: Instant,
}

impl ExecutorState {
    pub(super) fn new(id: &str, born: u64, capacity_cpu: u64, log: RunLog) -> Self {
        Self {
            id: id.to_owned(),
            born,
            capacity_cpu,
            began: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            log,
        }
    }

    pub(super) fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Raises the fence; false for an earlier owner.
    pub(super) fn fence(&mut self, token: u64) -> bool {
        self.fence = self.fence.max(token);
        token >= self.fence
    }

    pub(super) fn extend(&mut self, until_ms: u64) {
        let longest = self.clock_ms() + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(until_ms.min(longest));
    }

    pub(super) fn start(
        &mut self,
        task: &str,
        run: u64,
        text: &str,
        cpu: u64,
        until_ms: u64,
    ) -> Result<(), &'static str> {
        self.settle();
        if self
            .running
            .get(task)
            .is_some_and(|running| running.run == run)
        {
            return Ok(());
        }
        if self
            .highest
            .get(task)
            .is_some_and(|highest| run <= *highest)
        {
            return Err("old");
        }
        if until_ms <= self.clock_ms() {
            return Err("late");
        }
        self.extend(until_ms);
        let taken: u64 = self.running.values().map(|running| running.cpu).sum();
        if taken + cpu > self.capacity_cpu {
            self.log
                .violation(format!("{task}: does not fit on {}", self.id));
        }
        self.log.began(task, run, &self.id);
        let running = Running {
            run,
            cpu,
            payload: Payload::parse(text),
            began: Instant::now(),
        };
        self.running.insert(task.to_owned(), running);
        Ok(())
    }

    pub(super) fn stop(&mut self, task: &str, run: u64) {
        self.settle();
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        if self
            .running
            .get(task)
            .is_some_and(|running| running.run <= run)
        {
            self.end(task, "stopped");
        }
    }

    pub(super) fn acknowledge(&mut self, up_to: u64) {
        self.ended.retain(|(number, ..)| *number > up_to);
    }

    /// Ends what has run its time or whose lease is over.
    pub(super) fn settle(&mut self) {
        let lapsed = self.clock_ms() > self.lease_end_ms;
        let is_over = |running: &Running| running.began.elapsed() >= running.payload.run_time;
        let over: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter(|(_, running)| lapsed || is_over(running))
            .map(|(task, running)| {
                let how = match (is_over(running), running.payload.fails) {
                    (false, _) => "lapsed",
                    (true, true) => "failed",
                    (true, false) => "done",
                };
                (task.clone(), how)
            })
            .collect();
        for (task, how) in over {
            self.end(&task, how);
        }
    }

    pub(super) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Ends everything, as when the process dies.
    pub(super) fn crash(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "crashed");
        }
    }

    pub(super) fn lists(&mut self) -> Value {
        self.settle();
        let row = |(task, running): (&String, &Running)| {
            let total = running.payload.run_time.as_millis().max(1);
            let percent = (running.began.elapsed().as_millis() * 100 / total).min(99) as u64;
            json!([task, running.run, "", percent])
        };
        let running: Vec<Value> = self.running.iter().map(row).collect();
        json!({
            "timestamp_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended,
        })
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(running) = self.running.remove(task) else {
            return;
        };
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = running.run.max(*highest);
        self.log.ended(task, running.run, &self.id, how);
        self.ended.push((
            self.next_end,
            task.to_owned(),
            running.run,
            how,
            String::new(),
        ));
        self.next_end += 1;
    }
}
