//! The error of every client in this crate.

mod call_effect;
mod error_kind;
mod platform_error;

pub use self::{call_effect::CallEffect, error_kind::ErrorKind, platform_error::PlatformError};
