//! The policy document: teams, kinds of work, services, queue bounds and worker health.
//!
//! Every field except `version` and a team's quota has a default. Deserialization checks only the types;
//! [`Policy::validate`] checks the values and reports all problems together, so that an operator can correct a document
//! in one step.
//!
//! ```
//! use lagoon_core::policy::Policy;
//!
//! let policy = Policy::default();
//! assert!(policy.validate().is_empty());
//! ```

mod health_policy;
mod kind_policies;
mod kind_policy;
mod percent;
mod policy_document;
mod policy_problem;
mod queue_policy;
mod service_policy;
mod team_policy;
mod weight;

pub use self::{
    health_policy::HealthPolicy, kind_policies::KindPolicies, kind_policy::KindPolicy,
    percent::Percent, policy_document::Policy, policy_problem::PolicyProblem,
    queue_policy::QueuePolicy, service_policy::ServicePolicy, team_policy::TeamPolicy,
    weight::Weight,
};
