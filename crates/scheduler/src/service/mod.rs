//! gRPC services, which translate between messages and the shards of this process.

mod lending;
mod node;
mod operator_service;
mod peer_service;
mod scheduler_service;
mod view;

pub(crate) use self::{
    node::Node, operator_service::OperatorService, peer_service::PeerService,
    scheduler_service::SchedulerService,
};
