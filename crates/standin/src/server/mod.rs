//! HTTP server of a fake, which can close connections without a response.

mod connection;
mod fault_layer;
mod faulty_listener;
mod faulty_stream;
mod server_handle;

pub(crate) use self::{
    connection::Connection, fault_layer::FaultLayer, faulty_listener::FaultyListener,
    faulty_stream::FaultyStream, server_handle::ServerHandle,
};
