//! Calls between the nodes of a cell: job states, the backlog, the owner, forwarded writes and requests to the adviser.

mod peer_clients;
mod service;

pub(crate) use self::{peer_clients::PeerClients, service::PeerService};
