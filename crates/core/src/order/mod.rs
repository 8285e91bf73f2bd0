//! Order: which waiting work is tried next.
//!
//! [`FairQueue`] selects a kind of work, then a team, then an entry:
//!
//! 1. Urgent work of a team within its quota goes first, as long as its kind is below its ceiling and does not take what
//!    other waiting kinds are guaranteed. After a few urgent entries in a row one entry goes in regular order, so that a
//!    flood of urgent work can't starve the other teams of the kind.
//! 2. Kinds below their guaranteed share go next, then kinds below their ceiling, which share what is unused.
//! 3. Within a kind, the team with the smallest weighted dominant share goes first; within a team, the higher priority,
//!    then the earlier deadline, then the earlier arrival.
//!
//! Share is measured by what [`FairQueue::charge`] reported as running. A removed, held or expired entry leaves a stale
//! item in the heap of its team, which is dropped when it reaches the top or when half of the heap is stale.
//!
//! The caller takes an entry with `next`, and either starts it and calls `charge`, or calls `set_aside` if no worker
//! fits now. Entries set aside come back with `retry`, urgent ones first. Teams take turns there, because a flood
//! of one team would otherwise be tried before the work of the others.
//!
//! [`FirstGang`] names the gang job for which workers are held, and how much of the fleet.

mod accounting;
mod aside_list;
mod deadline_item;
mod fair_queue;
mod head_gang;
mod kind_queue;
mod lazy_heap;
mod queue_entry;
mod queue_slot;
mod ready_item;
mod selection;
mod team_lane;
mod team_state;
mod waiting;

pub use self::{fair_queue::FairQueue, head_gang::HeadGang, queue_entry::QueueEntry};
