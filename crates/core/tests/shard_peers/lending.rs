//! Reservations for gang jobs of other shards, seen from the lender.

use crate::model::{Owner, Store, WORKER, at, batch, gang};
use lagoon_core::ResultCode;
use lagoon_core::id::{Epoch, TaskId, TaskIndex, WorkId};
use lagoon_core::shard::{Borrower, Effect, ReservationId, StartResult, TaskPhase};
use lagoon_core::unit::{Millis, Resources};

const TTL: Millis = Millis::new(5_000);

fn borrower(epoch: u64) -> Borrower {
    Borrower {
        shard: "cluj:1".parse().unwrap(),
        epoch: Epoch::new(epoch),
    }
}

fn lender(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 8, Vec::new());
    owner
}

/// Reserves capacity for tasks that each use half of the worker. Returns how many fit.
fn reserve(
    owner: &mut Owner,
    epoch: u64,
    task_count: u32,
) -> Result<(ReservationId, usize), ResultCode> {
    let spec = gang("g", task_count).spec;
    let reserved = owner.shard.reserve(
        borrower(epoch),
        task_count,
        spec.resources,
        &spec.placement,
        TTL,
        at(0),
    );
    let (id, workers) = reserved.map_err(|refusal| refusal.code)?;
    Ok((id, workers.len()))
}

fn tasks(count: u32) -> Vec<TaskId> {
    let work: WorkId = "w:cluj:1:1:7".parse().unwrap();
    let task = |n| TaskId::new(work.clone(), TaskIndex::new(n));
    (0..count).map(task).collect()
}

fn commit(
    owner: &mut Owner,
    id: ReservationId,
    epoch: u64,
    task_count: u32,
) -> Result<(), ResultCode> {
    let spec = gang("g", task_count).spec;
    let committed = owner
        .shard
        .commit_reservation(id, &borrower(epoch), tasks(task_count), spec);
    owner.collect_effects();
    committed.map_err(|refusal| refusal.code)
}

/// Returns the epochs of the starts for the borrower.
fn lent_starts(owner: &Owner) -> Vec<u64> {
    let starts = owner.effects.iter().filter_map(|effect| match effect {
        Effect::StartForBorrower { borrower, .. } => Some(borrower.epoch.get()),
        _ => None,
    });
    starts.collect()
}

fn allocated(owner: &Owner) -> Resources {
    owner.shard.view().workers[0].allocated
}

macro_rules! lendings {
    ($($(#[$doc:meta])* $name:ident: $store:ident, $owner:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut $store = Store::default();
                let mut $owner = lender(&mut $store);
                $body
            }
        )*
    };
}

const REFUSED: Result<(), ResultCode> = Err(ResultCode::ReservationRefused);

lendings! {
    /// Guards against reserving more than fits, and against refusing although some tasks fit.
    as_many_as_fit: _store, owner => {
        assert_eq!(reserve(&mut owner, 1, 5).unwrap().1, 2);
        assert_eq!(reserve(&mut owner, 1, 1), Err(ResultCode::ReservationRefused));
    }

    /// Guards against placing own work on reserved capacity.
    keeps_capacity: store, owner => {
        reserve(&mut owner, 1, 2).unwrap();
        owner.submit(batch("k"));
        owner.flush_journal(&mut store);
        assert_eq!(owner.starts_sent(), 0);
    }

    /// Guards against capacity that stays reserved for a dead borrower.
    expires: store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        owner.submit(batch("k"));
        owner.flush_journal(&mut store);
        owner.shard.tick(at(1_000));
        owner.collect_effects();
        assert_eq!(owner.starts_sent(), 0);
        // The lease of the model expires before the reservation.
        owner.shard.tick(at(5_000));
        assert_eq!(allocated(&owner), Resources::ZERO);
        assert_eq!(commit(&mut owner, id, 1, 2), REFUSED);
        assert!(lent_starts(&owner).is_empty());
    }

    /// Guards against a start without the borrower's shard and epoch, and against counting capacity twice.
    commits: _store, owner => {
        let (id, _) = reserve(&mut owner, 3, 2).unwrap();
        let reserved = allocated(&owner);
        assert_eq!(commit(&mut owner, id, 3, 2), Ok(()));
        assert_eq!((lent_starts(&owner), allocated(&owner)), (vec![3, 3], reserved));
    }

    /// Guards against a repeated commit that starts the tasks again.
    commits_once: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        assert_eq!(commit(&mut owner, id, 1, 2), Ok(()));
        assert_eq!(commit(&mut owner, id, 1, 2), Ok(()));
        assert_eq!(lent_starts(&owner).len(), 2);
    }

    /// Guards against a commit of a released reservation, and against a release of a committed one.
    release_or_commit: _store, owner => {
        let (first, _) = reserve(&mut owner, 1, 1).unwrap();
        let (second, _) = reserve(&mut owner, 1, 1).unwrap();
        assert!(owner.shard.release_reservation(first, &borrower(1), at(0)).is_ok());
        assert_eq!(commit(&mut owner, first, 1, 1), REFUSED);
        assert_eq!(commit(&mut owner, second, 1, 1), Ok(()));
        assert!(owner.shard.release_reservation(second, &borrower(1), at(0)).is_err());
        assert!(owner.shard.release_reservation(first, &borrower(1), at(0)).is_ok());
    }

    /// Guards against an earlier owner of the borrower that starts what its successor has fenced.
    refuses_lower_epoch: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 1).unwrap();
        reserve(&mut owner, 2, 1).unwrap();
        assert_eq!(commit(&mut owner, id, 1, 1), REFUSED);
        assert_eq!(reserve(&mut owner, 1, 1).map(|_| ()), REFUSED);
        assert!(lent_starts(&owner).is_empty());
    }

    /// Guards against reservations of an earlier owner that block its successor.
    later_epoch_frees: _store, owner => {
        reserve(&mut owner, 1, 2).unwrap();
        assert_eq!(reserve(&mut owner, 2, 2).unwrap().1, 2);
    }

    /// Guards against a commit at a lender that lost its state, and at one that is handing its shard over.
    other_ownership: store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        let mut successor = Owner::claim(&mut store, "s2", None).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        assert_eq!(commit(&mut successor, id, 1, 2), REFUSED);
        owner.shard.begin_hand_over(at(0));
        assert_eq!(commit(&mut owner, id, 1, 2), Err(ResultCode::HandingOver));
    }

    /// Guards against capacity that stays allocated to a task that did not start, or is freed for one that may run.
    start_results: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        commit(&mut owner, id, 1, 2).unwrap();
        let worker = WORKER.parse().unwrap();
        let running = StartResult::Known(TaskPhase::Running);
        owner.shard.on_lent_start(&worker, &tasks(2)[0], running, at(0));
        owner.shard.on_lent_start(&worker, &tasks(2)[1], StartResult::ShardSuperseded, at(0));
        assert_eq!(allocated(&owner), gang("g", 1).spec.resources);
        assert_eq!(owner.halt_code(), None);
    }

    /// Guards against a borrower's tasks that stop because no lease holder renews them.
    names_borrowers: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        let worker = WORKER.parse().unwrap();
        assert!(owner.shard.borrowers_on(&worker).is_empty());
        commit(&mut owner, id, 1, 2).unwrap();
        assert_eq!(owner.shard.borrowers_on(&worker), [borrower(1).shard]);
    }
}
