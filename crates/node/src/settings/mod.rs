//! Settings of a node.

mod limit_settings;
mod listen_settings;
mod node_settings;

pub use self::node_settings::NodeSettings;
pub(crate) use self::{limit_settings::LimitSettings, listen_settings::ListenSettings};
