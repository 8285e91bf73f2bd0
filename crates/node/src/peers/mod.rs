//! Calls between the nodes of a cell: the state of a job, how much work waits, and questions to the adviser.

mod channels;
mod service;

pub(crate) use self::{channels::Peers, service::PeerService};
