//! Bounds on requests in flight, so that a flood can't exhaust the memory, and one team's flood leaves room for others.
//!
//! The bound on all requests applies before a body is read, the bound per team once the body has named the team. Both
//! last until the answer is written, and both refuse before anything is forwarded.

mod gate;
mod held;
mod in_flight;
mod permit;
mod team_permit;

pub(crate) use self::{
    gate::gated, held::Held, in_flight::InFlight, permit::Permit, team_permit::TeamPermit,
};
