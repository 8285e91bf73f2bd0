//! Small fakes of the platform: store, host list, workers and executors, with switches for faults.
//!
//! Each fake is a server on loopback that runs in process or from `lagoon-standin`. A fake checks by itself what the
//! system must never do, because a test that only looks at answers would miss it:
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
