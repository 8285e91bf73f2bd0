//! Clients of the platform: the key-value store, the host list, workers and executors, each over HTTP and JSON.
//!
//! A caller has to know whether a call that failed may have had an effect, because only a call that certainly had none
//! may be repeated elsewhere. [`PlatformError::effect`] answers that for every error:
//!
//! ```
//! use lagoon_platform::{CallEffect, ErrorKind, PlatformError};
//!
//! let busy = PlatformError::refused("POST /run", 503, "all slots are in use");
//! assert_eq!(busy.effect(), CallEffect::None);
//! assert!(matches!(busy.kind(), ErrorKind::Refused { status: 503, .. }));
//! ```

mod error;
pub mod executor;
pub mod hosts;
pub mod store;
mod transport;
mod util;
pub mod worker;

pub use self::{
    error::{CallEffect, ErrorKind, PlatformError},
    executor::ExecutorClient,
    hosts::HostListClient,
    store::StoreClient,
    transport::{Call, CallCounter, ClientSettings, Endpoint, PROCESS_HEADER, Response, Transport},
    worker::WorkerClient,
};
