//! Where steps may run, for queues whose placement needs the adviser's approval.
//!
//! The adviser is slow and answers one request at a time from each host, so requests are spread over the members of the
//! cell, each of which is an [`AdviserEndpoint`]. Which executors are approved for a step does not change, but a ticket
//! expires; a later request names only the executors that are known to be approved.

mod advice_response;
mod advice_table;
mod adviser_endpoint;
mod adviser_pool;
mod approval;
mod step_advice;

pub use self::{
    advice_response::AdviceResponse, advice_table::AdviceTable, adviser_endpoint::AdviserEndpoint,
    adviser_pool::AdviserPool, approval::Approval, step_advice::StepAdvice,
};
