//! Placement on a fleet: capacity, fit, racks, gangs and observed use.

mod cases;
mod random;
mod util;
