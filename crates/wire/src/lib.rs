//! Messages between the system's own processes.
//!
//! The protobuf files lie in `proto/`, the code generated from them in `src/generated/`. `cargo run -p
//! lagoon-wire-codegen` rewrites the code and a test compares both. Generated types stop at the adapter of each program;
//! [`convert`] turns them into the types of `lagoon_core` and reports what doesn't parse:
//!
//! ```
//! use lagoon_core::unit::{Bytes, Millicores, Resources};
//! use lagoon_wire::convert;
//!
//! let need = Resources::new(Millicores::new(500), Bytes::new(1024));
//! assert_eq!(convert::resources_from_wire(&convert::resources_to_wire(&need)), need);
//! ```

pub mod convert;
mod generated;

pub use crate::generated::lagoon_v1 as v1;
