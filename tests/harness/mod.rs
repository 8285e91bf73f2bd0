//! A cluster of separate operating-system processes on loopback, with the fake platform as one more process.
//!
//! Every process is a child of the test and is killed and reaped when its handle is dropped, also on a panic.

mod answer;
mod caller;
mod child;
mod client;
mod cluster;
mod cluster_plan;
mod daemon;
mod daemon_kind;
mod eventually;
mod platform;
mod ports;
mod settings_files;
mod test_run;

pub(crate) use self::{
    answer::Answer,
    caller::{Caller, batch, gang},
    child::Child,
    client::Client,
    cluster::Cluster,
    cluster_plan::ClusterPlan,
    daemon::Daemon,
    daemon_kind::DaemonKind,
    eventually::eventually,
    platform::Platform,
    test_run::{BoxError, run},
};
