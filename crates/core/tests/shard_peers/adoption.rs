//! Adoption: another shard uses workers whose home shard has no owner while the store is down.

use crate::model::{OTHER_WORKER, Owner, Store, WORKER, at, batch, request, worker};
use lagoon_core::id::{Epoch, WorkId};
use lagoon_core::shard::{Deduplication, RequestResult, Submission, TaskPhase, TaskReport};
use lagoon_core::unit::{Bytes, Millicores, Resources};

/// Creates an owner whose own executor has no free slot and whose worker leases have epoch 1.
fn owner_without_free_slots(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 0, Vec::new());
    owner
}

fn untracked_request() -> Submission {
    request(Deduplication::Once)
}

/// A running task of the dead owner that uses three of the four cores.
fn task_of_dead_owner() -> TaskReport {
    let work: WorkId = "w:cluj:5:1:7".parse().unwrap();
    TaskReport {
        shard: work.shard().clone(),
        task: lagoon_core::id::TaskId::new(work, lagoon_core::id::TaskIndex::new(0)),
        shard_epoch: Epoch::new(1),
        resources: Resources::new(Millicores::new(3_000), Bytes::new(1 << 30)),
        phase: TaskPhase::Running,
        observed: Resources::ZERO,
    }
}

/// Returns the resources allocated on the adopted worker, or `None` if the shard does not have the worker.
fn allocated(owner: &Owner) -> Option<Resources> {
    let view = owner.shard.view();
    let id = worker(OTHER_WORKER).worker;
    let found = view.workers.into_iter().find(|view| view.worker == id);
    found.map(|view| view.allocated)
}

macro_rules! adoptions {
    ($($(#[$doc:meta])* $name:ident: $store:ident, $owner:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut $store = Store::default();
                let mut $owner = owner_without_free_slots(&mut $store);
                $body
            }
        )*
    };
}

adoptions! {
    /// Guards against executors of a dead owner that stay idle during an outage of the store.
    serves_requests: _store, owner => {
        owner.submit(untracked_request());
        assert_eq!(owner.requests_sent(), 0);
        owner.adopt(OTHER_WORKER, 1, Vec::new());
        assert_eq!(owner.requests_sent(), 1);
    }

    /// Guards against use of slots in which requests of the dead owner may still run.
    waits_for_free_slots: _store, owner => {
        owner.adopt(OTHER_WORKER, 0, Vec::new());
        owner.submit(untracked_request());
        assert_eq!(owner.requests_sent(), 0);
    }

    /// Guards against a task that a successor would not find because no journal names its worker.
    starts_no_tasks: store, owner => {
        owner.submit(batch("a"));
        owner.submit(batch("b"));
        owner.submit(batch("c"));
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.flush_journal(&mut store);
        owner.heartbeat(OTHER_WORKER, Vec::new());
        owner.flush_journal(&mut store);
        // Its own worker has capacity for two of them.
        assert_eq!(owner.starts_sent(), 2);
    }

    /// Guards against counting the capacity of the dead owner's tasks as free.
    foreign_tasks_keep_capacity: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, vec![task_of_dead_owner()]);
        assert_eq!(allocated(&owner), Some(task_of_dead_owner().resources));
    }

    /// Guards against an adopted worker that is kept, renewed or used after its home shard has an owner again.
    returned: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.return_adopted();
        assert_eq!(owner.released_leases(), [1]);
        owner.heartbeat(OTHER_WORKER, Vec::new());
        owner.submit(untracked_request());
        assert_eq!((owner.requests_sent(), allocated(&owner)), (0, None));
    }

    /// Guards against a renewal in flight that takes the lease again after the worker was returned.
    grant_after_return: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.return_adopted();
        owner.grant_lease(OTHER_WORKER, Vec::new());
        assert_eq!(owner.released_leases(), [1, 1]);
        assert_eq!(allocated(&owner), None);
    }

    /// Guards against a request whose response is lost because its worker was returned in the meantime.
    request_in_flight: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        let waiter = owner.submit(untracked_request());
        owner.return_adopted();
        assert!(!owner.shard.requests_done());
        owner.finish_request(RequestResult::Answered("a".to_owned()));
        assert_eq!(owner.reply_name(waiter), "answer a");
        owner.return_adopted();
        assert_eq!((owner.shard.requests_done(), allocated(&owner)), (true, None));
    }

    /// Guards against the shard's own workers being returned or drained together with the adopted ones.
    own_workers_stay: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        let none_leave = Default::default();
        owner.shard.set_workers(&[worker(WORKER)], &none_leave, at(0));
        owner.collect_effects();
        assert_eq!(owner.shard.leased_workers().len(), 2);
        owner.submit(untracked_request());
        owner.return_adopted();
        assert_eq!((owner.requests_sent(), owner.shard.leased_workers().len()), (1, 1));
    }
}
