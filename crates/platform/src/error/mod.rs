//! The error type that all clients of this crate return.

mod call_effect;
mod error_kind;
mod platform_error;

pub use self::{call_effect::CallEffect, error_kind::ErrorKind, platform_error::PlatformError};
