//! Gang jobs with members at other shards, at the borrower.

use crate::model::{OTHER_WORKER, Owner, Store, WORKER, at, gang, worker};
use lagoon_core::ResultCode;
use lagoon_core::id::{Epoch, Incarnation, TaskId, WorkId};
use lagoon_core::shard::{Effect, ReservedPlacement, TaskPhase, TaskReport};
use lagoon_core::unit::Timestamp;
use lagoon_core::work::{Spread, WorkState};

/// Members of the job; two fit on the shard's own worker.
const MEMBERS: u32 = 3;

/// Owner in whose failure domain the job fits.
fn owner(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 8, Vec::new());
    owner
        .shard
        .set_domain_workers(&[worker(WORKER), worker(OTHER_WORKER)]);
    owner
}

/// Returns the job for which members are to be reserved.
fn wanted(owner: &Owner) -> Option<WorkId> {
    owner.effects.iter().find_map(|effect| match effect {
        Effect::Borrow { work } => Some(work.clone()),
        _ => None,
    })
}

fn lent(run: u64) -> ReservedPlacement {
    let spec = worker(OTHER_WORKER);
    ReservedPlacement {
        worker: spec.worker,
        host: spec.host,
        address: spec.address,
        incarnation: Incarnation::new(run),
    }
}

/// Submits the job and goes on until its members are placed, the last one at another shard.
fn placed(owner: &mut Owner, store: &mut Store) -> (WorkId, Vec<TaskId>) {
    owner.submit(gang("g", MEMBERS));
    owner.pump(store);
    let work = wanted(owner).expect("it does not fit here");
    let plan = owner.shard.begin_borrowing(&work, at(0)).unwrap();
    assert_eq!(plan.missing, 1);
    let tasks = owner
        .shard
        .record_borrowing(&work, &[lent(1)], at(0))
        .unwrap();
    owner.collect();
    (work, tasks)
}

/// Like `placed`, with all members sent.
fn sent(owner: &mut Owner, store: &mut Store) -> (WorkId, Vec<TaskId>) {
    let (work, tasks) = placed(owner, store);
    owner.pump(store);
    owner.shard.finish_borrowing(&work, true, at(0));
    owner.collect();
    (work, tasks)
}

fn report(task: &TaskId, phase: TaskPhase) -> TaskReport {
    TaskReport {
        task: task.clone(),
        shard: task.work().shard().clone(),
        shard_epoch: Epoch::new(1),
        resources: gang("g", 1).spec.resources,
        phase,
        observed: Default::default(),
    }
}

/// Takes the list of the borrowed worker.
fn follow(owner: &mut Owner, run: u64, tasks: Vec<TaskReport>, now: Timestamp) {
    let worker = worker(OTHER_WORKER).worker;
    owner
        .shard
        .on_borrowed_inventory(&worker, Incarnation::new(run), tasks, now);
    owner.collect();
}

fn stopped(owner: &Owner) -> usize {
    let stops = owner.effects.iter();
    stops
        .filter(|effect| matches!(effect, Effect::Stop { .. }))
        .count()
}

fn state(owner: &Owner, work: &WorkId) -> Option<WorkState> {
    owner.shard.work(work).map(|view| view.state)
}

macro_rules! borrowings {
    ($($(#[$doc:meta])* $name:ident: $store:ident, $owner:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut $store = Store::default();
                let mut $owner = owner(&mut $store);
                $body
            }
        )*
    };
}

borrowings! {
    /// Guards against a job that waits for good although the failure domain has room, or that is refused as too large.
    wants_help: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        assert!(wanted(&owner).is_some());
    }

    /// Guards against a job that no host of the failure domain could hold and that is accepted all the same.
    larger_than_the_domain: store, owner => {
        let waiter = owner.submit(gang("g", 5));
        owner.pump(&mut store);
        assert_eq!(owner.said(waiter), ResultCode::NeverFits.name());
    }

    /// Guards against a split of a job that asks for distinct racks, which no shard can judge.
    racks_are_not_split: store, owner => {
        let mut job = gang("g", MEMBERS);
        job.spec.placement.spread = Spread::Racks;
        let waiter = owner.submit(job);
        owner.pump(&mut store);
        assert_eq!((owner.said(waiter).as_str(), wanted(&owner)), ("never_fits", None));
    }

    /// Guards against members that are started before the others are certain, or before the worker's use is durable.
    nothing_before_the_record: store, owner => {
        let (work, _) = placed(&mut owner, &mut store);
        assert!(!owner.shard.borrowing_recorded(&work));
        owner.pump(&mut store);
        assert!(owner.shard.borrowing_recorded(&work));
        assert_eq!(owner.started(), 0);
        owner.shard.finish_borrowing(&work, true, at(0));
        owner.collect();
        assert_eq!(owner.started(), 2);
    }

    /// Guards against own capacity that stays claimed, and a job that is lost, when too little could be reserved.
    gives_up: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        let work = wanted(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.end_borrowing(&work, at(0));
        owner.submit(gang("two", 2));
        owner.pump(&mut store);
        assert_eq!(state(&owner, &work), Some(WorkState::Waiting));
        owner.shard.cancel(Default::default(), &work, "by a test", at(0));
        owner.pump(&mut store);
        assert_eq!(owner.started(), 2);
    }

    /// Guards against a job that is cancelled while its members are being reserved and is started all the same.
    cancelled_meanwhile: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        let work = wanted(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.cancel(Default::default(), &work, "by a test", at(0));
        owner.pump(&mut store);
        assert!(owner.shard.record_borrowing(&work, &[lent(1)], at(0)).is_none());
        owner.shard.end_borrowing(&work, at(0));
        owner.submit(gang("two", 2));
        owner.pump(&mut store);
        assert_eq!(owner.started(), 2);
    }

    /// Guards against a job that an operator holds while its members are being reserved and that is started all the same.
    held_meanwhile: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        let work = wanted(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        assert!(owner.shard.hold(&work));
        assert!(owner.shard.record_borrowing(&work, &[lent(1)], at(0)).is_none());
        owner.shard.end_borrowing(&work, at(0));
        assert_eq!(state(&owner, &work), Some(WorkState::Held));
    }

    /// Guards against a job that is tried only when the shard's own workers free capacity.
    tried_again: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        let work = wanted(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.end_borrowing(&work, at(0));
        owner.effects.clear();
        owner.shard.tick(at(900));
        owner.collect();
        assert_eq!(wanted(&owner), None);
        owner.shard.tick(at(1_600));
        owner.collect();
        assert_eq!(wanted(&owner), Some(work));
    }

    /// Guards against a part of the members that runs on after one lender refused.
    all_or_nothing: store, owner => {
        let (work, _) = placed(&mut owner, &mut store);
        owner.pump(&mut store);
        owner.shard.finish_borrowing(&work, false, at(0));
        owner.collect();
        assert_eq!((stopped(&owner), owner.started()), (3, 0));
    }

    /// Guards against a job that ends without the members at other shards, or whose end is not seen.
    follows: store, owner => {
        let (work, tasks) = sent(&mut owner, &mut store);
        let done = |task| report(task, TaskPhase::Succeeded("a".to_owned()));
        owner.beat(WORKER, vec![done(&tasks[0]), done(&tasks[1])]);
        owner.pump(&mut store);
        assert_eq!(owner.shard.borrowed_workers().len(), 1);
        follow(&mut owner, 1, vec![done(&tasks[2])], at(0));
        owner.pump(&mut store);
        assert!(matches!(state(&owner, &work), Some(WorkState::Ended(_))));
        assert!(owner.shard.borrowed_workers().is_empty());
    }

    /// Guards against members that run on although one was never started, because its lender died after the commit.
    missing_member: store, owner => {
        sent(&mut owner, &mut store);
        follow(&mut owner, 1, Vec::new(), at(2_900));
        assert_eq!(stopped(&owner), 0);
        follow(&mut owner, 1, Vec::new(), at(3_000));
        assert_eq!(stopped(&owner), 3);
    }

    /// Guards against at-most-once work that is started again after a borrowed worker lost a member.
    restarted_worker: store, owner => {
        let (work, tasks) = sent(&mut owner, &mut store);
        follow(&mut owner, 1, vec![report(&tasks[2], TaskPhase::Running)], at(0));
        follow(&mut owner, 2, Vec::new(), at(0));
        let gone = |task| report(task, TaskPhase::Stopped { started: true });
        owner.beat(WORKER, vec![gone(&tasks[0]), gone(&tasks[1])]);
        owner.pump(&mut store);
        assert!(matches!(state(&owner, &work), Some(WorkState::Ended(_))));
        assert_eq!(owner.started(), 2);
    }

    /// Guards against a successor that does not ask a borrowed worker, and starts the job while it runs.
    successor_fences: store, owner => {
        let (work, tasks) = sent(&mut owner, &mut store);
        let mut next = Owner::claim(&mut store, "s2", None).unwrap();
        next.shard.forget_borrowed_workers(|id| *id == worker(WORKER).worker);
        let running = |task| report(task, TaskPhase::Running);
        next.serve(&mut store, 2, 8, vec![running(&tasks[0]), running(&tasks[1])]);
        assert_eq!(next.started(), 0);
        next.fence(OTHER_WORKER, vec![running(&tasks[2])]);
        assert_eq!(state(&next, &work), Some(WorkState::Running));
        assert_eq!(next.shard.borrowed_workers().len(), 1);
        assert_eq!((next.started(), stopped(&next)), (0, 0));
    }

    /// Guards against borrowed workers that every successor has to ask for good.
    released_in_the_journal: store, owner => {
        let (_, tasks) = sent(&mut owner, &mut store);
        owner.shard.release_borrowed_workers();
        owner.pump(&mut store);
        let done = |task| report(task, TaskPhase::Succeeded("a".to_owned()));
        owner.beat(WORKER, vec![done(&tasks[0]), done(&tasks[1])]);
        follow(&mut owner, 1, vec![done(&tasks[2])], at(0));
        owner.pump(&mut store);
        owner.shard.release_borrowed_workers();
        owner.pump(&mut store);
        let next = Owner::claim(&mut store, "s2", None).unwrap();
        assert_eq!(next.shard.unfenced().len(), 1);
    }

    /// Guards against a start by an owner that is handing the shard over.
    not_while_handing_over: store, owner => {
        owner.submit(gang("g", MEMBERS));
        owner.pump(&mut store);
        let work = wanted(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        let offer = owner.export(&mut store);
        assert_eq!(offer.unsent, std::slice::from_ref(&work));
        assert!(owner.shard.record_borrowing(&work, &[lent(1)], at(0)).is_none());
    }
}
