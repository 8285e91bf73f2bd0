//! Switches that make a fake misbehave towards all callers or one calling process.

mod fault_mode;
mod fault_request;
mod fault_rule;
mod fault_target;
mod faults;

pub use self::{
    fault_mode::FaultMode, fault_request::FaultRequest, fault_rule::FaultRule,
    fault_target::FaultTarget, faults::Faults,
};
