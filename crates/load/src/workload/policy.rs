use lagoon_core::policy::{Policy, ServicePolicy, TeamPolicy, Weight};

use crate::util::{cores_gib, name};
use crate::workload::Deployment;
use crate::workload::deployment::SERVICE;

/// Returns the default policy with the whole fleet as the quota of every team, so that only fair shares and queue order
/// protect a team. Teams have the default queue limit, so that a flood of a few teams can't fill the queue.
pub(crate) fn policy(deployment: &Deployment) -> Policy {
    let workers = deployment.workers as u64;
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: cores_gib(workers * deployment.cores, workers * deployment.gib),
        queue_limit: 10_000,
    };
    let mut policy = Policy {
        default_team: Some(team),
        ..Policy::default()
    };
    policy
        .services
        .insert(name(SERVICE), ServicePolicy::default());
    policy
}
