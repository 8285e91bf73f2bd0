//! Fakes of the platform for tests: store, host list, workers and executors, with fault injection.
//!
//! Each fake is a server on a loopback address, started in the process of a test or by `lagoon-standin`. A fake records
//! violations of the scheduler's safety properties itself, because responses alone do not show them:
//!
//! ```
//! use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
//! use lagoon_standin::store::{StoreHandle, StoreSettings};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let store = StoreHandle::bind(StoreSettings::default()).await.unwrap();
//! store.faults().add(FaultRule::new(FaultTarget::Store, FaultMode::DropAnswer).times(1));
//! store.stop().await;
//! # });
//! ```

pub mod executors;
pub mod fault;
mod free_address;
pub mod hosts;
pub mod platform;
mod run;
mod server;
pub mod site;
pub mod store;
mod util;
pub mod workers;

pub use self::free_address::free_address;
pub use self::run::run;
