//! Limits on requests in flight, so that overload can't exhaust the memory and no team can take the whole capacity.
//!
//! The total limit applies before the body is read, the limit per team after the body is parsed. Permits are held until
//! the response is written. Requests over a limit are refused before anything is forwarded.

mod in_flight_limiter;
mod limit_layer;
mod permit;
mod team_permit;

pub(crate) use self::{
    in_flight_limiter::InFlightLimiter, limit_layer::limit_requests, permit::Permit,
    team_permit::TeamPermit,
};
