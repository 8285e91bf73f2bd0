//! Scheduling logic and state of lagoonspindle.
//!
//! This crate performs no I/O and has no clock and no source of randomness. The current time and random seeds are
//! passed as arguments, so that the daemons, the tests and the load generator run the same code:
//!
//! ```
//! use lagoon_core::unit::{Bytes, Millicores, Resources};
//!
//! let declared = Resources::new(Millicores::new(500), "2GiB".parse::<Bytes>().unwrap());
//! let host = Resources::new("32".parse::<Millicores>().unwrap(), "128GB".parse::<Bytes>().unwrap());
//! assert!(declared.fits_in(&host));
//! ```

#[macro_use]
mod util;

pub mod admission;
pub mod code;
pub mod health;
pub mod id;
pub mod journal;
pub mod lease;
pub mod membership;
pub mod order;
pub mod placement;
pub mod policy;
pub mod shard;
pub mod ticket;
pub mod unit;
pub mod work;

pub use crate::code::{Refusal, RefusalClass, ResultCode};
