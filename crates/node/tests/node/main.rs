//! Whole nodes against the stand-in of the platform.

#[macro_use]
mod cases;
mod cell;
mod faults;
mod takeover;
mod whole_path;
