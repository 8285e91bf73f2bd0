use lagoon_core::shard::{ExecutorSpec, WorkerSpec};
use lagoon_core::unit::{Millis, Priority, Rate, Timestamp};
use lagoon_core::work::WorkKind;

use crate::util::{cores_gib, name};
use crate::workload::{Span, Stream};

/// Service of all requests.
pub(crate) const SERVICE: &str = "service";

/// Fleet of one shard and the parameters of its load.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) workers: usize,
    pub(crate) cores: u64,
    pub(crate) gib: u64,
    pub(crate) rack_size: usize,
    pub(crate) executors: usize,
    pub(crate) slots: u32,
    /// Run time of a request in milliseconds.
    pub(crate) request: Span,
}

impl Deployment {
    /// Returns the deployment of the settlements workload.
    pub(crate) fn settlements() -> Self {
        Self {
            name: "settlements",
            workers: 50,
            cores: 32,
            gib: 128,
            rack_size: 8,
            executors: 50,
            slots: 8,
            request: Span::new(100, 500),
        }
    }

    /// Returns the deployment of the plans workload.
    pub(crate) fn plans() -> Self {
        Self {
            name: "plans",
            cores: 16,
            gib: 32,
            request: Span::new(1_000, 5_000),
            ..Self::settlements()
        }
    }

    /// Returns the deployment with another number of workers, each with one executor.
    pub(crate) fn with_workers(self, workers: usize) -> Self {
        Self {
            workers,
            executors: workers,
            ..self
        }
    }

    pub(crate) fn specs(&self) -> Vec<WorkerSpec> {
        let spec = |number: usize| {
            let executor = ExecutorSpec {
                executor: name(&format!("e{number}")),
                service: name(SERVICE),
                slots: self.slots,
                connections: 60,
            };
            WorkerSpec {
                worker: name(&format!("w{number}")),
                host: name(&format!("h{number}")),
                address: format!("10.0.{}.{}:7000", number / 250, number % 250),
                rack: name(&format!("r{}", number / self.rack_size)),
                capacity: cores_gib(self.cores, self.gib),
                executors: match number < self.executors {
                    true => vec![executor],
                    false => Vec::new(),
                },
            }
        };
        (0..self.workers).map(spec).collect()
    }

    /// Returns the total number of cores.
    pub(crate) fn total_cores(&self) -> f64 {
        self.workers as f64 * self.cores as f64
    }

    /// Returns the steady load from `from` to `until`: about three quarters of the cores and half of the slots.
    pub(crate) fn steady(&self, from: Timestamp, until: Timestamp) -> Vec<Stream> {
        let cores = self.total_cores();
        let slots = self.executors as f64 * f64::from(self.slots);
        let batch = |team_prefix, priority, part: f64| {
            let stream = Stream {
                priority,
                ..self.stream(WorkKind::Batch, team_prefix, from, until)
            };
            let rate = stream.rate_for(part * cores);
            Stream { rate, ..stream }
        };
        let gang = Stream {
            task_counts: Span::new(2, 8),
            ..self.stream(WorkKind::Gang, "gang", from, until)
        };
        let request = |priority, part: f64| {
            let stream = Stream {
                priority,
                cores: Span::new(1, 1),
                run: self.request,
                service: Some(SERVICE),
                ..self.stream(WorkKind::Service, "callers", from, until)
            };
            let rate = stream.rate_for(part * slots);
            Stream { rate, ..stream }
        };
        let urgent = Priority::try_from(90).expect("a valid priority");
        vec![
            batch("batch", Priority::NORMAL, 0.45),
            batch("urgent", urgent, 0.1),
            Stream {
                rate: gang.rate_for(0.15 * cores),
                ..gang
            },
            request(Priority::NORMAL, 0.4),
            request(urgent, 0.1),
        ]
    }

    /// Returns a flood of ten times the capacity of the fleet.
    pub(crate) fn flood(&self, priority: Priority, from: Timestamp, until: Timestamp) -> Stream {
        let stream = Stream {
            priority,
            flood: true,
            ..self.stream(WorkKind::Batch, "flood", from, until)
        };
        let rate = stream.rate_for(10.0 * self.total_cores());
        Stream { rate, ..stream }
    }

    fn stream(
        &self,
        kind: WorkKind,
        team_prefix: &'static str,
        from: Timestamp,
        until: Timestamp,
    ) -> Stream {
        Stream {
            kind,
            team_prefix,
            team_count: 4,
            priority: Priority::NORMAL,
            rate: Rate::per_second(1),
            cores: Span::new(1, 4),
            gib_per_core: self.gib / self.cores,
            task_counts: Span::new(1, 1),
            run: Span::new(2_000, 18_000),
            service: None,
            start_timeout: Some(Millis::new(120_000)),
            from,
            until,
            max_arrivals: u64::MAX,
            flood: false,
            error_factor: 10_000,
        }
    }
}
