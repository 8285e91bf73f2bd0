use std::net::SocketAddr;

use lagoon_core::unit::Resources;
use smallvec::SmallVec;

use crate::id::{ExecutorId, Incarnation, Label, ServiceName};

/// Registry entry of an executor, written by the executor itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorEntry {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Labels, such as its kind and its rack.
    pub labels: SmallVec<[Label; 2]>,
    /// Its rack, if the entry names one.
    pub rack: Option<Label>,
    /// Resources that its runs may use in total.
    pub capacity: Resources,
    /// It is about to leave.
    pub draining: bool,
    /// Its current incarnation, if the entry names one.
    pub incarnation: Option<Incarnation>,
}
