//! The error of every client in this crate.

mod effect;
mod error_kind;
mod platform_error;

pub use self::{effect::Effect, error_kind::ErrorKind, platform_error::PlatformError};
