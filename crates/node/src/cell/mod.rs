//! Membership of the cell and its ownership.
//!
//! Every node registers itself under a lease of the store. The owner's key is under the owner's lease too, so it is removed
//! when that lease expires, and another member claims the cell with the next epoch.

mod cell_view;
mod claim;
mod discover_owner;
mod follow;
mod head;
mod keys;
mod member_entry;
mod owner_entry;
mod register;
mod wait_to_claim;

pub(crate) use self::{
    cell_view::CellView,
    claim::{Claim, claim, owner_transaction},
    discover_owner::discover_owner,
    follow::follow,
    head::Head,
    keys::Keys,
    member_entry::MemberEntry,
    owner_entry::OwnerEntry,
    register::{LEASE_TTL, LeaseHandle, register},
    wait_to_claim::wait_to_claim,
};
