//! Fault injection into the requests to a fake, for all callers or for one process.

mod fault_mode;
mod fault_request;
mod fault_rule;
mod fault_target;
mod faults;

pub use self::{
    fault_mode::FaultMode, fault_request::FaultRequest, fault_rule::FaultRule,
    fault_target::FaultTarget, faults::Faults,
};
