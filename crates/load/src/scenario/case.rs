use lagoon_core::unit::Timestamp;

use crate::report::{Measurements, ScenarioReport};
use crate::scenario::policy_kind::PolicyKind;
use crate::scenario::times::Times;
use crate::scenario::{Options, Size};
use crate::sim::{Baseline, Engine, Fault, ShardEngine, Simulation};
use crate::workload::{Deployment, Stream, policy};

/// A fleet with its offered load and faults, to be run under each policy.
#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub(crate) deployment: Deployment,
    pub(crate) streams: Vec<Stream>,
    pub(crate) faults: Vec<(Timestamp, Fault)>,
    pub(crate) times: Times,
    pub(crate) seed: u64,
}

impl Case {
    /// Returns a case with the steady load of a deployment.
    pub(crate) fn steady(deployment: Deployment, options: &Options) -> Self {
        let times = Times::of(options.size);
        let deployment = match options.size {
            Size::Full => deployment,
            // Five racks, so that the capacity left after the loss of one still covers the steady load.
            Size::Small => Deployment {
                rack_size: 2,
                ..deployment.with_workers(10)
            },
        };
        Self {
            streams: deployment.steady(times.arrivals, times.last),
            deployment,
            faults: Vec::new(),
            times,
            seed: options.seed,
        }
    }

    /// Returns the case with an additional stream. The work of the other streams stays the same.
    pub(crate) fn with_stream(&self, stream: Stream) -> Self {
        let mut case = self.clone();
        case.streams.push(stream);
        case
    }

    pub(crate) fn run(&self, kind: PolicyKind) -> Measurements {
        let specs = self.deployment.specs();
        let start = self.times.start;
        let engine: Box<dyn Engine> = match kind {
            PolicyKind::Shard => {
                let policy = policy(&self.deployment);
                Box::new(ShardEngine::new(policy, specs.clone(), start))
            }
            PolicyKind::Baseline => Box::new(Baseline::new(specs.clone())),
        };
        let mut simulation =
            Simulation::new(engine, &specs, self.streams.clone(), self.seed, start);
        simulation.set_measurement_window(self.times.measured, self.times.last);
        for (at, fault) in &self.faults {
            simulation.schedule_fault(*at, fault.clone());
        }
        simulation.run(self.times.end)
    }

    /// Runs the case under a policy and returns its report.
    pub(crate) fn report(&self, scenario: &str, case: &str, kind: PolicyKind) -> ScenarioReport {
        let measurements = self.run(kind);
        ScenarioReport::new(scenario, case, &kind.to_string(), self.seed)
            .with_measurements(&measurements)
    }
}
