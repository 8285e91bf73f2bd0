//! HTTP/1 calls over pooled connections, with a timeout and counters.

mod call;
mod call_counter;
mod client_settings;
mod connection_gate;
mod endpoint;
mod established_at;
mod response;
mod timed_connector;
mod timed_stream;
#[expect(clippy::module_inception, reason = "one type per file")]
mod transport;

pub use self::{
    call::Call,
    call_counter::CallCounter,
    client_settings::{ClientSettings, PROCESS_HEADER},
    connection_gate::ConnectionGate,
    endpoint::Endpoint,
    response::Response,
    transport::Transport,
};
