//! A cluster of separate operating-system processes on loopback, including the simulated platform.
//!
//! Every process is a child of the test and is killed and reaped when its handle is dropped, also during a panic.

mod caller;
mod checks;
mod child;
mod client;
mod cluster;
mod cluster_plan;
mod daemon;
mod daemon_kind;
mod deduplication;
mod eventually;
mod faults;
mod load;
mod log_tails;
mod node;
mod outcome;
mod platform;
mod response;
mod settings_files;
mod test_run;

pub(crate) use self::{
    caller::{Caller, batch, gang},
    checks::{check_jobs, check_no_unaccepted, check_requests},
    child::Child,
    client::Client,
    cluster::{Cluster, policy},
    cluster_plan::ClusterPlan,
    daemon::Daemon,
    daemon_kind::DaemonKind,
    deduplication::Deduplication,
    eventually::eventually,
    faults::Faults,
    load::{Load, Outcomes, count_succeeded},
    node::Node,
    outcome::Outcome,
    platform::{Counts, Platform},
    response::Response,
    test_run::{BoxError, run},
};
