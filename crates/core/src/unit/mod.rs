//! Sizes, durations and rates. Each unit is a newtype that formats and parses with its suffix.
//!
//! ```
//! use lagoon_core::unit::Millis;
//!
//! let wait: Millis = "5.3s".parse().unwrap();
//! assert_eq!(wait, Millis::new(5_300));
//! ```

mod accelerators;
mod bytes;
mod millicores;
mod millis;
mod parse_unit_error;
mod priority;
mod rate;
mod resources;
mod timestamp;

pub use self::{
    accelerators::Accelerators, bytes::Bytes, millicores::Millicores, millis::Millis,
    parse_unit_error::ParseUnitError, priority::Priority, rate::Rate, resources::Resources,
    timestamp::Timestamp,
};
