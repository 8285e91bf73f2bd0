//! Clients of the platform's key-value store, host list, workers and executors, over HTTP and JSON.
//!
//! Only a failed call that had no effect may be repeated elsewhere. [`PlatformError::effect`] tells whether that is
//! certain:
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
    transport::{
        Admission, Call, CallCounter, ClientSettings, ConnectionGate, Endpoint, HeldBack,
        PROCESS_HEADER, Response, Transport,
    },
    worker::WorkerClient,
};
