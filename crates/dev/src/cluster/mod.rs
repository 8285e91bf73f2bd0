//! The running cluster.

mod dev_cluster;
mod dev_settings;

pub use self::dev_cluster::Cluster;
