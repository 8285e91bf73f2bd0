//! Which process owns which shard, as learned from heartbeats. A higher epoch wins, and a route never goes back.

mod heartbeats;
mod home;
mod members;
mod route;
mod table;

pub(crate) use self::{
    heartbeats::Heartbeats, home::home_shard, members::Members, route::Route, table::RoutingTable,
};
