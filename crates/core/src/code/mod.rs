//! Numbered result codes. Each code has a number, a name and a class; docs/errors.md lists all of them.

mod refusal;
mod refusal_class;
mod result_code;

pub use self::{refusal::Refusal, refusal_class::RefusalClass, result_code::ResultCode};
