//! Memory and time per queued job.

use std::time::Instant;

use lagoon_core::policy::{Policy, QueuePolicy};
use lagoon_core::shard::{Deduplication, Shard, Submission, WaiterId};
use lagoon_core::unit::{Bytes, Priority};
use lagoon_core::work::WorkSpec;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::ScenarioReport;
use crate::sim::{JobNumber, new_shard};
use crate::slope::Line;
use crate::slope::memory::resident_bytes;
use crate::slope::worker_slope::NOW;
use crate::workload::{Deployment, policy};

/// Number of queued jobs at each point, multiplied by the scale.
const POINTS: [u64; 4] = [100, 250, 500, 1_000];

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    // The workers are listed but not leased, so that work is feasible but can't start.
    let deployment = Deployment::settlements();
    let mut shard = new_shard(
        without_queue_limits(policy(&deployment)),
        &deployment.specs(),
        NOW,
    );
    let (mut memory, mut time) = (Line::default(), Line::default());
    let (mut number, mut total_ns) = (0, 0.0);
    for point in POINTS {
        let count = point * scale as u64;
        let work: Vec<Submission> = (number..count)
            .map(|number| submission(&deployment, number, Deduplication::Once))
            .collect();
        let started_at = Instant::now();
        for submission in work {
            shard.submit(WaiterId::new(number), submission, NOW);
            number += 1;
        }
        total_ns += started_at.elapsed().as_nanos() as f64;
        shard.take_effects();
        memory.add(count as f64, resident_bytes() as f64);
        time.add(count as f64, total_ns);
    }
    memory.report_slope("memory per queued work (B)", report);
    time.report_slope("time per submission that waits (ns)", report);
    shard
}

/// Returns the policy with limits of the queue that the measurements don't reach.
pub(super) fn without_queue_limits(policy: Policy) -> Policy {
    let team = policy.default_team.map(|mut team| {
        team.queue_limit = 10_000_000;
        team
    });
    Policy {
        default_team: team,
        queue: QueuePolicy {
            items: 10_000_000,
            bytes: Bytes::new(64 << 30),
        },
        ..policy
    }
}

/// Returns a submission of a batch job without start deadline.
pub(super) fn submission(
    deployment: &Deployment,
    number: u64,
    deduplication: Deduplication,
) -> Submission {
    let mut rng = SmallRng::seed_from_u64(number);
    let stream = deployment.flood(Priority::NORMAL, NOW, NOW);
    let spec: WorkSpec = stream.draw(JobNumber(number), NOW, &mut rng);
    Submission {
        deduplication,
        fingerprint: spec.fingerprint(),
        spec: WorkSpec {
            deadline: None,
            ..spec
        },
        wait_for_end: true,
    }
}
