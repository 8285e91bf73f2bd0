//! Development cluster and the settings of its processes.

mod dev_cluster;
mod dev_settings;

pub use self::dev_cluster::Cluster;
pub(crate) use self::dev_settings::OPERATOR_TOKEN;
