//! Numbered result codes. Each code has one number, one name and one class, and docs/errors.md lists them all.

mod refusal;
mod refusal_class;
mod result_code;

pub use self::{refusal::Refusal, refusal_class::RefusalClass, result_code::ResultCode};
