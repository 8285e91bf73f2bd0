//! Settings of the gateway.

mod gateway_settings;
mod token_settings;

pub use self::{gateway_settings::GatewaySettings, token_settings::TokenSettings};
