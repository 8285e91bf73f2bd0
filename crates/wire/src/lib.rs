//! Messages between the processes of lagoonspindle.
//!
//! The protobuf files are in `proto/`, the generated code is in `src/generated/`. `cargo run -p lagoon-wire-codegen`
//! regenerates the code, and a test checks that it is current. Only the service adapters of each program use the
//! generated types; [`convert`] converts them to the types of `lagoon_core` and reports fields that don't parse:
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
