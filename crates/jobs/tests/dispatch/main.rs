//! Tests of the dispatcher under faults, in virtual time and without I/O.

#[macro_use]
mod cases;
mod admission;
mod advice;
mod cancellations;
mod ends;
mod gangs;
mod harness;
mod identities;
mod late_requests;
mod leases;
mod locations;
mod ownership;
mod placement;
mod random;
mod removed_queues;
mod report;
mod restarts;
mod sim;
mod sim_adviser;
mod sim_executor;
mod sim_gangs;
mod sim_kind;
mod takeover;
mod unanswered_starts;
