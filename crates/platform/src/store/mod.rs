//! Client of the key-value store and the JSON types of its protocol.
//!
//! A version is a revision of the whole store. Each write takes the next one, so versions only increase.

mod delete_outcome;
mod expect;
mod lease_answer;
mod lease_id;
mod lease_request;
mod list_answer;
mod put_outcome;
mod put_request;
mod store_client;
mod store_entry;
mod version_answer;
mod watch_answer;

pub use self::{
    delete_outcome::DeleteOutcome, expect::Expect, lease_answer::LeaseAnswer, lease_id::LeaseId,
    lease_request::LeaseRequest, list_answer::ListAnswer, put_outcome::PutOutcome,
    put_request::PutRequest, store_client::StoreClient, store_entry::StoreEntry,
    version_answer::VersionAnswer, watch_answer::WatchAnswer,
};
