//! A cluster of separate operating-system processes on loopback, with the fake platform as one more process.
//!
//! Every process is a child of the test and is killed and reaped when its handle is dropped, also on a panic.

mod answer;
mod caller;
mod checks;
mod child;
mod client;
mod cluster;
mod cluster_plan;
mod daemon;
mod daemon_kind;
mod ended_logs;
mod ending;
mod eventually;
mod faults;
mod load;
mod platform;
mod route;
mod settings_files;
mod test_run;

pub(crate) use self::{
    answer::Answer,
    caller::{Caller, batch, gang},
    checks::{check_jobs, check_no_others, check_requests},
    child::Child,
    client::Client,
    cluster::{Cluster, policy},
    cluster_plan::ClusterPlan,
    daemon::Daemon,
    daemon_kind::DaemonKind,
    ending::Ending,
    eventually::eventually,
    faults::Faults,
    load::{Endings, Load, answered},
    platform::{Counts, Platform},
    route::Route,
    test_run::{BoxError, run},
};
