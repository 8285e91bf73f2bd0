use lagoon_core::unit::Timestamp;

use crate::report::{Measures, ScenarioReport};
use crate::scenario::policy_kind::PolicyKind;
use crate::scenario::times::Times;
use crate::scenario::{Options, Size};
use crate::sim::{Baseline, Engine, Fault, ShardEngine, World};
use crate::workload::{Deployment, Stream, policy};

/// A fleet, the work offered to it and the faults, to be run under each policy.
#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub(crate) deployment: Deployment,
    pub(crate) streams: Vec<Stream>,
    pub(crate) faults: Vec<(Timestamp, Fault)>,
    pub(crate) times: Times,
    pub(crate) seed: u64,
}

impl Case {
    /// Offers the steady load to a deployment.
    pub(crate) fn steady(deployment: Deployment, options: &Options) -> Self {
        let times = Times::of(options.size);
        let deployment = match options.size {
            Size::Full => deployment,
            // Five racks, so that the loss of one leaves enough for the steady load.
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

    /// Adds a stream; the work of the others stays the same.
    pub(crate) fn with_stream(&self, stream: Stream) -> Self {
        let mut case = self.clone();
        case.streams.push(stream);
        case
    }

    pub(crate) fn run(&self, kind: PolicyKind) -> Measures {
        let specs = self.deployment.specs();
        let start = self.times.start;
        let engine: Box<dyn Engine> = match kind {
            PolicyKind::Shard => {
                let policy = policy(&self.deployment);
                Box::new(ShardEngine::new(policy, specs.clone(), start))
            }
            PolicyKind::Baseline => Box::new(Baseline::new(specs.clone())),
        };
        let mut world = World::new(engine, &specs, self.streams.clone(), self.seed, start);
        world.measure_from(self.times.measured, self.times.last);
        for (at, fault) in &self.faults {
            world.add_fault(*at, fault.clone());
        }
        world.run(self.times.end)
    }

    /// Runs the case and reports it.
    pub(crate) fn report(&self, scenario: &str, case: &str, kind: PolicyKind) -> ScenarioReport {
        let measures = self.run(kind);
        ScenarioReport::new(scenario, case, &kind.to_string(), self.seed).with_measures(&measures)
    }
}
