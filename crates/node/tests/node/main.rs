//! Complete nodes against a stand-in for the platform.

#[macro_use]
mod cases;
mod cancellations;
mod cell;
mod end_to_end;
mod faults;
mod locations;
mod node_thread;
mod odd_entries;
mod pauses;
mod removed_queues;
mod restarts;
mod takeover;
