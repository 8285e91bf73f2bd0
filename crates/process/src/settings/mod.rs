//! Settings files in YAML or JSON. All problems of a file are reported at once, each with file, key and expected
//! format.
//!
//! Serde stops at the first error, so the file is first parsed into a generic value. The value at the key of each error
//! is replaced by a placeholder that the type accepts, and deserialization is repeated until no errors remain.

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
