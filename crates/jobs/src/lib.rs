//! Decisions about jobs: which task runs where and when, what an end means, and what has to be recorded before it may be
//! acknowledged.
//!
//! This crate performs no I/O and has no clock. A [`dispatch::Dispatcher`] is told what happened and answers with orders
//! that its driver carries out, so that daemons and tests drive the same code. Each part of its state has one owner: the
//! [`fleet`] knows executors and their free resources, the [`job`] table what is left to do, the [`run`] table what was
//! started, the [`advice`] book where a step may run, and the [`record`] ledger what is not yet durable.

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
