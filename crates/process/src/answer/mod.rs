//! Conversion of refusals to HTTP responses, shared by all programs.

mod error_body;
mod status;

pub use self::{error_body::ErrorBody, status::status};
