use std::net::SocketAddr;

use lagoon_core::unit::Resources;
use smallvec::SmallVec;

use crate::id::{ExecutorId, Incarnation, Label, ServiceName};

/// What an executor says of itself in the list of executors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorEntry {
    /// Its id.
    pub id: ExecutorId,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its kind and its rack.
    pub labels: SmallVec<[Label; 2]>,
    /// Its rack, if it names one.
    pub rack: Option<Label>,
    /// What its runs may take together.
    pub capacity: Resources,
    /// It leaves soon.
    pub draining: bool,
    /// Its present life, if it names one.
    pub incarnation: Option<Incarnation>,
}
