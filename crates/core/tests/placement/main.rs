//! Placement on a fleet: capacity, best fit, racks, gangs and observed usage.

mod cases;
mod random;
mod util;
