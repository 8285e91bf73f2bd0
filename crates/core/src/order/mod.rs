//! Order: which waiting work is tried next.
//!
//! [`FairQueue`] selects a kind of work, then a team, then an entry:
//!
//! 1. Urgent work of a team within its quota goes first, as long as its kind is below its ceiling and leaves the
//!    guaranteed shares of other waiting kinds free. After a few urgent entries in a row one entry goes in regular
//!    order, so that a flood of urgent work can't starve the other teams of the kind.
//! 2. Kinds below their guaranteed share go next, then kinds below their ceiling, which divide the unused capacity.
//! 3. Within a kind, the team with the smallest weighted dominant share goes first; within a team, the higher priority,
//!    then the earlier deadline, then the earlier arrival.
//!
//! Shares are computed from the usage reported by [`FairQueue::charge`]. A removed, held or expired entry leaves a
//! stale item in the heap of its team, which is dropped when it reaches the top or when half of the heap is stale.
//!
//! The caller takes an entry with `next`, and either starts it and calls `charge`, or calls `defer` if it does not fit
//! on any worker now. `retry` makes deferred entries ready again, urgent ones first. Teams take turns, because a flood
//! of one team would otherwise be tried before the work of the others.
//!
//! [`HeadGang`] decides for which gang job workers are held, and for how much of the fleet.

mod accounting;
mod deadline_item;
mod deferred_list;
mod fair_queue;
mod head_gang;
mod kind_queue;
mod lazy_heap;
mod queue_entry;
mod queue_slot;
mod ready_item;
mod selection;
mod team_queue;
mod team_state;
mod waiting;

pub use self::{fair_queue::FairQueue, head_gang::HeadGang, queue_entry::QueueEntry};
