//! HTTP/1 calls over pooled connections, with a timeout and counters.

mod admission;
mod call;
mod call_counter;
mod client_settings;
mod connection_gate;
mod endpoint;
mod established_at;
mod held_back;
mod not_admitted;
mod response;
mod timed_connector;
mod timed_stream;
#[expect(clippy::module_inception, reason = "one type per file")]
mod transport;

pub use self::{
    admission::Admission,
    call::Call,
    call_counter::CallCounter,
    client_settings::{ClientSettings, PROCESS_HEADER},
    connection_gate::ConnectionGate,
    endpoint::Endpoint,
    held_back::HeldBack,
    response::Response,
    transport::Transport,
};
