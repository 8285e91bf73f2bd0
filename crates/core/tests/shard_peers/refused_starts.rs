//! Starts that a worker refuses for reasons unrelated to the work.

use lagoon_core::id::TaskId;
use lagoon_core::shard::{Effect, StartResult, Submission};

use crate::model::{Owner, Store, WORKER, at, batch, worker};

/// More than the failed starts after which work is refused.
const REFUSALS: usize = 20;

/// Returns the task that was sent to a worker last.
fn last_start(owner: &Owner) -> TaskId {
    let started = owner.effects.iter().rev().find_map(|effect| match effect {
        Effect::Start { task, .. } => Some(task.clone()),
        _ => None,
    });
    started.expect("a task was sent")
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $refusal:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut store = Store::default();
                let mut owner = Owner::claim(&mut store, "s1", None).unwrap();
                owner.serve(&mut store, 1, 8, Vec::new());
                let waiter = owner.submit(batch("k"));
                owner.flush_journal(&mut store);
                for refused in 1..=REFUSALS {
                    assert_eq!(owner.starts_sent(), refused);
                    let task = last_start(&owner);
                    owner.shard.on_start(&worker(WORKER).worker, &task, $refusal, at(0));
                    owner.regrant_lease(WORKER);
                    owner.flush_journal(&mut store);
                }
                assert_eq!(owner.starts_sent(), REFUSALS + 1);
                assert_eq!(owner.reply_name(waiter), "accepted");
                assert_eq!(owner.shard.list(None, None, 10).len(), 1);
            }
        )*
    };
}

cases! {
    /// Guards against refusing work because its owner was paused and lost the leases of all workers.
    lost_leases_do_not_end_work: StartResult::LeaseLost;
    /// Guards against refusing work because its owner could not send the start.
    starts_that_were_not_sent_do_not_end_work: StartResult::NotSent;
    /// Guards against refusing work because workers had allocations that its owner did not know of.
    full_workers_do_not_end_work: StartResult::DoesNotFit;
}

/// Guards against an owner that resumes after a pause and sends work to a worker again and again although the lease has
/// expired.
#[test]
fn nothing_is_sent_under_a_lease_that_ended() {
    let mut store = Store::default();
    let mut owner = Owner::claim(&mut store, "s1", None).unwrap();
    owner.serve(&mut store, 1, 8, Vec::new());
    let waiter = owner.submit(batch("k"));
    owner.flush_journal(&mut store);
    let task = last_start(&owner);
    let id = worker(WORKER).worker;
    owner
        .shard
        .on_start(&id, &task, StartResult::NotSent, at(5_000));
    owner.collect_effects();
    assert_eq!(owner.starts_sent(), 1);
    assert_eq!(owner.reply_name(waiter), "accepted");
    assert_eq!(owner.shard.list(None, None, 10).len(), 1);
}

/// Guards against work that is retried forever although every host fails to start it.
#[test]
fn failed_starts_end_work() {
    let mut store = Store::default();
    let mut owner = Owner::claim(&mut store, "s1", None).unwrap();
    owner.serve(&mut store, 1, 8, Vec::new());
    let waiter = owner.submit(Submission {
        wait_for_end: true,
        ..batch("k")
    });
    owner.flush_journal(&mut store);
    for _ in 0..8 {
        let task = last_start(&owner);
        let failed = StartResult::StartFailed;
        owner
            .shard
            .on_start(&worker(WORKER).worker, &task, failed, at(0));
        owner.flush_journal(&mut store);
    }
    assert_eq!(owner.reply_name(waiter), "start_refused");
}
