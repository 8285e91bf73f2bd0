//! Settings of the admin process.

mod admin_settings;
mod audit_settings;
mod operator_settings;

pub use self::{
    admin_settings::AdminSettings, audit_settings::AuditSettings,
    operator_settings::OperatorSettings,
};
