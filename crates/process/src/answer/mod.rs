//! Refusals as HTTP answers, in the same form for every program.

mod error_body;
mod status;

pub use self::{error_body::ErrorBody, status::status};
