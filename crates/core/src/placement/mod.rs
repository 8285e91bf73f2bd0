//! Placement: which worker runs a task.
//!
//! [`Fleet`] keeps each worker's capacity, allocations and observed usage, and an index of the workers that are open
//! for new work. The index finds an exact fit in all three dimensions without a scan. Accelerators have few distinct
//! free counts, so the index has one group for each count. Within a group, two search trees order the workers by free
//! processors and by free memory; each node carries the maximum of the other dimension in its subtree. The first worker
//! in order that is large enough in both dimensions is found in logarithmic time, and it is the best fit in the
//! dimension that the task needs most.
//!
//! ```
//! use lagoon_core::placement::Fleet;
//! use lagoon_core::unit::{Bytes, Millicores, Resources};
//! use lagoon_core::work::PlacementPolicy;
//!
//! let mut fleet = Fleet::new();
//! let capacity = Resources::new(Millicores::new(32_000), Bytes::new(128 << 30));
//! fleet.upsert_worker("w1".parse().unwrap(), "r1".parse().unwrap(), capacity);
//! let need = Resources::new(Millicores::new(20_000), Bytes::new(1 << 30));
//! assert!(fleet.place(&need, &PlacementPolicy::default()).is_some());
//! assert!(fleet.place(&need, &PlacementPolicy::default()).is_none());
//! ```

mod capacity_exceeded;
mod closed_reason;
mod closed_reasons;
mod dimension;
mod fleet;
mod free_index;
mod gang;
mod gang_hold;
mod held_worker;
mod indexed;
mod search_forest;
mod usage;
mod worker_slot;

pub use self::{
    capacity_exceeded::CapacityExceeded, closed_reason::ClosedReason,
    closed_reasons::ClosedReasons, fleet::Fleet, worker_slot::WorkerSlot,
};
