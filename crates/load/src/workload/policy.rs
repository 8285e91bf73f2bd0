use lagoon_core::policy::{Policy, ServicePolicy, TeamPolicy, Weight};

use crate::util::{name, sized};
use crate::workload::Deployment;
use crate::workload::deployment::SERVICE;

/// The default policy with one quota for every team: the whole fleet, so that only shares and turns protect a team.
/// The queue limit of a team is the default one, so that a flood of a few teams can't fill the queue.
pub(crate) fn policy(deployment: &Deployment) -> Policy {
    let workers = deployment.workers as u64;
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: sized(workers * deployment.cores, workers * deployment.gib),
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
