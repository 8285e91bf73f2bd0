//! Load tests and experiments: the real decision code in virtual time, next to a simple baseline.
//!
//! A scenario offers work to a fleet that is played by an event loop, and reports waits, throughput, packing, the cost
//! of decisions and refusals. Waits and throughput are in virtual time, so they do not depend on the machine; costs are
//! measured by the wall clock.
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
