//! Complete cluster in one process on loopback, for development.
//!
//! [`Cluster`] starts the fake platform, two schedulers, two gateways and the admin process of one failure domain. With
//! `--once`, a sample session runs against it: each request and response is printed, and an unexpected response ends
//! the program with an error.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
//! let cluster = lagoon_dev::Cluster::spawn().await?;
//! cluster.ready().await?;
//! println!("{}", cluster.gateways()[0]);
//! cluster.stop().await;
//! # Ok(())
//! # }
//! ```

mod cluster;
mod dev_args;
mod http_client;
mod run;
mod session;

pub use crate::{cluster::Cluster, run::run};
