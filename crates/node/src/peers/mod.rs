//! Calls between the nodes of a cell: the state of a job, how much work waits, and questions to the adviser.

mod peer_clients;
mod service;

pub(crate) use self::{peer_clients::PeerClients, service::PeerService};
