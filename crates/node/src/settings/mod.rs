//! Settings of a node.

mod limit_settings;
mod listen_settings;
mod node_settings;

pub use self::{
    limit_settings::LimitSettings, listen_settings::ListenSettings, node_settings::NodeSettings,
};
