//! Load tests and experiments in virtual time: the real decision code compared with a simple baseline.
//!
//! A scenario submits work to a fleet simulated by an event loop, and reports waits, throughput, packing, decision cost
//! and refusals. Waits and throughput are in virtual time, so they don't depend on the machine. Costs are wall-clock
//! times.
//!
//! ```
//! use lagoon_load::{Options, Size, run_scenario};
//!
//! let options = Options { seed: 1, size: Size::Small };
//! let reports = run_scenario("packing", &options).unwrap();
//! assert!(reports.iter().all(|report| report.scenario == "packing"));
//! ```

mod args;
mod bench;
mod plot;
mod report;
mod run;
mod scenario;
mod sim;
mod slope;
mod util;
mod workload;

pub use self::{
    report::{Check, ClassRow, Cost, ScenarioReport},
    run::run,
    scenario::{Options, Size, names, run_scenario},
};
