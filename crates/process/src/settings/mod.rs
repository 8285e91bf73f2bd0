//! Settings files in YAML or JSON. All problems of a file are reported at once, each with file, key and expected form.
//!
//! Serde stops at the first error, so the file is parsed to a generic value first. Each error's key is then replaced by
//! a value that the type accepts, and the rest is read again until everything has been checked.

mod address;
mod checked;
mod follow;
mod load;
mod placeholder;
mod policy_rules;
mod problem;
mod problems;
mod settings_errors;
mod text;
mod tracked_deserializer;

pub(crate) use self::follow::{Hangup, follow};
pub use self::{
    address::Address, checked::Checked, load::load, load::parse, problem::Problem,
    problems::Problems, settings_errors::SettingsErrors, text::text,
};
