use std::fmt;
use std::str::FromStr;

use lagoon_core::id::{ExecutorId, ParseIdError, WorkerId};
use serde::{Deserialize, Serialize};

/// Fakes that a fault applies to, written `store`, `hosts`, `worker:W`, `executor:E` or `all`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum FaultTarget {
    /// The store.
    Store,
    /// The host list.
    Hosts,
    /// One worker.
    Worker(WorkerId),
    /// One executor.
    Executor(ExecutorId),
    /// Every fake on the server.
    All,
}

impl fmt::Display for FaultTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Hosts => f.write_str("hosts"),
            Self::Worker(worker) => write!(f, "worker:{worker}"),
            Self::Executor(executor) => write!(f, "executor:{executor}"),
            Self::All => f.write_str("all"),
        }
    }
}

impl FromStr for FaultTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let to_text = |e: ParseIdError| e.to_string();
        match text.split_once(':') {
            Some(("worker", name)) => name.parse().map(Self::Worker).map_err(to_text),
            Some(("executor", name)) => name.parse().map(Self::Executor).map_err(to_text),
            None if text == "store" => Ok(Self::Store),
            None if text == "hosts" => Ok(Self::Hosts),
            None if text == "all" => Ok(Self::All),
            _ => Err(format!("{text:?} is not a fault target")),
        }
    }
}

impl TryFrom<String> for FaultTarget {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<FaultTarget> for String {
    fn from(target: FaultTarget) -> String {
        target.to_string()
    }
}
