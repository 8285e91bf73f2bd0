//! Where steps may run, for queues whose placement needs the adviser's consent.
//!
//! The adviser is slow and takes one question at a time from each host, so questions are spread over the members of the
//! cell, each a lane. Which executors are good for a step does not change, but a ticket is valid only for a while; a
//! later question names just the executors known to be good.

mod advice_book;
mod advice_response;
mod grant;
mod lane;
mod lanes;
mod step_advice;

pub use self::{
    advice_book::AdviceBook, advice_response::AdviceResponse, grant::Grant, lane::Lane,
    lanes::Lanes, step_advice::StepAdvice,
};
