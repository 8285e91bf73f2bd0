//! Decisions about jobs: which task runs where and when, how the end of a run changes its job, and what has to be durable
//! before it may be acknowledged.
//!
//! This crate performs no I/O and has no clock. A [`dispatch::Dispatcher`] takes in events and returns effects that its
//! driver carries out, so that daemons and tests run the same code. Each part of its state has one owner: the [`fleet`]
//! holds the executors and their free resources, the [`job`] table the work that remains, the [`run`] table the runs that
//! exist or may exist, the [`advice`] table where a step may run, and [`record`] what is not durable yet.

pub mod advice;
pub mod dispatch;
pub mod fleet;
pub mod id;
pub mod job;
pub mod policy;
pub mod record;
pub mod report;
pub mod run;
pub mod spec;
