//! Client of an executor and the JSON types of its API.

mod executor_client;
mod run_request;
mod status_response;

pub use self::{
    executor_client::ExecutorClient, run_request::RunRequest, status_response::StatusResponse,
};
