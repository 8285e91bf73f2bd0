//! Reservations at the lender.

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

/// Reserves members that each take half of the worker; returns how many fit.
fn reserve(
    owner: &mut Owner,
    epoch: u64,
    members: u32,
) -> Result<(ReservationId, usize), ResultCode> {
    let spec = gang("g", members).spec;
    let reserved = owner.shard.reserve(
        borrower(epoch),
        members,
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
    members: u32,
) -> Result<(), ResultCode> {
    let spec = gang("g", members).spec;
    let committed = owner
        .shard
        .commit_reservation(id, &borrower(epoch), tasks(members), spec);
    owner.collect();
    committed.map_err(|refusal| refusal.code)
}

/// Returns the epochs that the starts for the borrower name.
fn lent_starts(owner: &Owner) -> Vec<u64> {
    let starts = owner.effects.iter().filter_map(|effect| match effect {
        Effect::StartForBorrower { borrower, .. } => Some(borrower.epoch.get()),
        _ => None,
    });
    starts.collect()
}

fn claimed(owner: &Owner) -> Resources {
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
    /// Guards against a reservation of more than fits, and against one that takes nothing although something fits.
    as_many_as_fit: _store, owner => {
        assert_eq!(reserve(&mut owner, 1, 5).unwrap().1, 2);
        assert_eq!(reserve(&mut owner, 1, 1), Err(ResultCode::ReservationRefused));
    }

    /// Guards against own work that is placed on reserved capacity.
    keeps_capacity: store, owner => {
        reserve(&mut owner, 1, 2).unwrap();
        owner.submit(batch("k"));
        owner.pump(&mut store);
        assert_eq!(owner.started(), 0);
    }

    /// Guards against capacity that a dead borrower keeps.
    expires: store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        owner.submit(batch("k"));
        owner.pump(&mut store);
        owner.shard.tick(at(1_000));
        owner.collect();
        assert_eq!(owner.started(), 0);
        // The lease of the model ends earlier than the reservation.
        owner.shard.tick(at(5_000));
        assert_eq!(claimed(&owner), Resources::ZERO);
        assert_eq!(commit(&mut owner, id, 1, 2), REFUSED);
        assert!(lent_starts(&owner).is_empty());
    }

    /// Guards against a start without the borrower's shard and epoch, and against capacity that is counted twice.
    commits: _store, owner => {
        let (id, _) = reserve(&mut owner, 3, 2).unwrap();
        let reserved = claimed(&owner);
        assert_eq!(commit(&mut owner, id, 3, 2), Ok(()));
        assert_eq!((lent_starts(&owner), claimed(&owner)), (vec![3, 3], reserved));
    }

    /// Guards against a repeated commit that starts the members again.
    commits_once: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        assert_eq!(commit(&mut owner, id, 1, 2), Ok(()));
        assert_eq!(commit(&mut owner, id, 1, 2), Ok(()));
        assert_eq!(lent_starts(&owner).len(), 2);
    }

    /// Guards against a commit that a release was meant to prevent, and a release of what runs.
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

    /// Guards against a commit of a lender that lost its memory, and of one that is handed over.
    other_ownership: store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        let mut next = Owner::claim(&mut store, "s2", None).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        assert_eq!(commit(&mut next, id, 1, 2), REFUSED);
        owner.shard.begin_hand_over(at(0));
        assert_eq!(commit(&mut owner, id, 1, 2), Err(ResultCode::HandingOver));
    }

    /// Guards against capacity that is kept for a member that did not start, and freed for one that may run.
    start_results: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        commit(&mut owner, id, 1, 2).unwrap();
        let worker = WORKER.parse().unwrap();
        let running = StartResult::Known(TaskPhase::Running);
        owner.shard.on_lent_start(&worker, &tasks(2)[0], running, at(0));
        owner.shard.on_lent_start(&worker, &tasks(2)[1], StartResult::ShardSuperseded, at(0));
        assert_eq!(claimed(&owner), gang("g", 1).spec.resources);
        assert_eq!(owner.halted(), None);
    }

    /// Guards against tasks of a borrower that stop because nobody renews them.
    names_borrowers: _store, owner => {
        let (id, _) = reserve(&mut owner, 1, 2).unwrap();
        let worker = WORKER.parse().unwrap();
        assert!(owner.shard.borrowers_on(&worker).is_empty());
        commit(&mut owner, id, 1, 2).unwrap();
        assert_eq!(owner.shard.borrowers_on(&worker), [borrower(1).shard]);
    }
}
