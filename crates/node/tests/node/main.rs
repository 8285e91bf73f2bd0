//! Complete nodes against a stand-in for the platform.

#[macro_use]
mod cases;
mod cell;
mod end_to_end;
mod faults;
mod odd_entries;
mod takeover;
