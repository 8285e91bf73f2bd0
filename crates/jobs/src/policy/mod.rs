//! The operators' configuration of a cell: its queues and the services that run their tasks.
//!
//! ```
//! use lagoon_jobs::policy::{CellPolicy, Queue};
//!
//! let policy = CellPolicy::new(7, vec![Queue::example("reports", "a.example", "/reports/")], Vec::new());
//! assert_eq!(policy.find("a.example", "/reports/x").unwrap().prefix, "/reports/");
//! assert!(policy.find("b.example", "/reports/x").is_none());
//! ```

mod advice_cost;
mod cell_policy;
mod queue;
mod service;

pub use self::{advice_cost::AdviceCost, cell_policy::CellPolicy, queue::Queue, service::Service};
