//! Client of the key-value store and the JSON types of its API.
//!
//! The version of a key is the revision of the whole store that wrote it. Each write increments the revision, so
//! versions only increase.

mod delete_outcome;
mod lease_id;
mod lease_request;
mod lease_response;
mod list_response;
mod precondition;
mod put_outcome;
mod put_request;
mod store_client;
mod store_entry;
mod version_response;
mod watch_response;

pub use self::{
    delete_outcome::DeleteOutcome, lease_id::LeaseId, lease_request::LeaseRequest,
    lease_response::LeaseResponse, list_response::ListResponse, precondition::Precondition,
    put_outcome::PutOutcome, put_request::PutRequest, store_client::StoreClient,
    store_entry::StoreEntry, version_response::VersionResponse, watch_response::WatchResponse,
};
