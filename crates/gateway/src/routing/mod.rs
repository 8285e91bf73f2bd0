//! Owners of shards, as learned from heartbeats. The highest epoch wins; a route never returns to a lower epoch.

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
