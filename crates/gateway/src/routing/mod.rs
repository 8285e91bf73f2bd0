//! Which process owns which shard, as learned from heartbeats. A higher epoch wins, and a route never goes back.

mod domain_info;
mod heartbeats;
mod home;
mod home_resolver;
mod members;
mod route;
mod table;

pub(crate) use self::{
    domain_info::DomainInfo, heartbeats::Heartbeats, home::home_shard, home_resolver::HomeResolver,
    members::Members, route::Route, table::RoutingTable,
};
