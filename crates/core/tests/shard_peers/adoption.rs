//! Workers of a shard without an owner, used by another shard while the store is down.

use crate::model::{OTHER_WORKER, Owner, Store, WORKER, at, batch, request, worker};
use lagoon_core::id::{Epoch, WorkId};
use lagoon_core::shard::{Deduplication, RequestResult, Submission, TaskPhase, TaskReport};
use lagoon_core::unit::{Bytes, Millicores, Resources};

/// Owner whose own executor has no free slot and whose lease on every worker has epoch 1.
fn full(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 0, Vec::new());
    owner
}

fn once() -> Submission {
    request(Deduplication::Once)
}

/// A running task of the dead owner that takes three of the four cores.
fn foreign() -> TaskReport {
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

/// Returns what tasks take of the adopted worker; none if the shard does not have it.
fn claimed(owner: &Owner) -> Option<Resources> {
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
                let mut $owner = full(&mut $store);
                $body
            }
        )*
    };
}

adoptions! {
    /// Guards against executors of a dead owner that stay idle during an outage of the store.
    serves_requests: _store, owner => {
        owner.submit(once());
        assert_eq!(owner.sent(), 0);
        owner.adopt(OTHER_WORKER, 1, Vec::new());
        assert_eq!(owner.sent(), 1);
    }

    /// Guards against slots that are used although the dead owner's requests may still run in them.
    waits_for_free_slots: _store, owner => {
        owner.adopt(OTHER_WORKER, 0, Vec::new());
        owner.submit(once());
        assert_eq!(owner.sent(), 0);
    }

    /// Guards against a task that a successor would not find, because no journal names the worker.
    starts_no_tasks: store, owner => {
        owner.submit(batch("a"));
        owner.submit(batch("b"));
        owner.submit(batch("c"));
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.pump(&mut store);
        owner.beat(OTHER_WORKER, Vec::new());
        owner.pump(&mut store);
        // Its own worker holds two of them.
        assert_eq!(owner.started(), 2);
    }

    /// Guards against tasks of the dead owner whose capacity counts as free.
    foreign_tasks_keep_capacity: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, vec![foreign()]);
        assert_eq!(claimed(&owner), Some(foreign().resources));
    }

    /// Guards against an adopted worker that is kept, renewed or used after its home shard has an owner again.
    given_back: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.give_back();
        assert_eq!(owner.released(), [1]);
        owner.beat(OTHER_WORKER, Vec::new());
        owner.submit(once());
        assert_eq!((owner.sent(), claimed(&owner)), (0, None));
    }

    /// Guards against a renewal that was on its way and takes the lease again for good.
    late_grant: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        owner.give_back();
        owner.granted(OTHER_WORKER, Vec::new());
        assert_eq!(owner.released(), [1, 1]);
        assert_eq!(claimed(&owner), None);
    }

    /// Guards against a request whose answer is lost because the worker was given back meanwhile.
    request_in_flight: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        let waiter = owner.submit(once());
        owner.give_back();
        assert!(!owner.shard.requests_done());
        owner.answer(RequestResult::Answered("a".to_owned()));
        assert_eq!(owner.said(waiter), "answer a");
        owner.give_back();
        assert_eq!((owner.shard.requests_done(), claimed(&owner)), (true, None));
    }

    /// Guards against the shard's own workers being given back or drained with the adopted ones.
    own_workers_stay: _store, owner => {
        owner.adopt(OTHER_WORKER, 8, Vec::new());
        let none_leave = Default::default();
        owner.shard.set_workers(&[worker(WORKER)], &none_leave, at(0));
        owner.collect();
        assert_eq!(owner.shard.leased_workers().len(), 2);
        owner.submit(once());
        owner.give_back();
        assert_eq!((owner.sent(), owner.shard.leased_workers().len()), (1, 1));
    }
}
