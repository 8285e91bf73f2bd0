//! Bounds on requests in flight, so that a flood can't exhaust the memory, and one team's flood leaves room for others.
//!
//! The bound on all requests applies before a body is read, the bound per team once the body has named the team. Both
//! last until the answer is written, and both refuse before anything is forwarded.

mod in_flight_limiter;
mod limit_layer;
mod permit;
mod permit_body;
mod team_permit;

pub(crate) use self::{
    in_flight_limiter::InFlightLimiter, limit_layer::limit_requests, permit::Permit,
    permit_body::PermitBody, team_permit::TeamPermit,
};
