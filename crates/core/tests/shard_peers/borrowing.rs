//! Gang jobs with tasks at other shards, seen from the borrower.

use crate::model::{OTHER_WORKER, Owner, Store, WORKER, at, gang, worker};
use lagoon_core::ResultCode;
use lagoon_core::id::{Epoch, Incarnation, TaskId, WorkId};
use lagoon_core::shard::{Effect, ReservedPlacement, TaskPhase, TaskReport};
use lagoon_core::unit::Timestamp;
use lagoon_core::work::{Spread, WorkState};

/// Number of tasks of the job; two fit on the shard's own worker.
const GANG_TASKS: u32 = 3;

/// Creates an owner whose failure domain can hold the job.
fn owner(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 8, Vec::new());
    owner
        .shard
        .set_domain_workers(&[worker(WORKER), worker(OTHER_WORKER)]);
    owner
}

/// Returns the job for which capacity is to be reserved.
fn borrow_request(owner: &Owner) -> Option<WorkId> {
    owner.effects.iter().find_map(|effect| match effect {
        Effect::Borrow { work } => Some(work.clone()),
        _ => None,
    })
}

fn reserved(incarnation: u64) -> ReservedPlacement {
    let spec = worker(OTHER_WORKER);
    ReservedPlacement {
        worker: spec.worker,
        host: spec.host,
        address: spec.address,
        incarnation: Incarnation::new(incarnation),
    }
}

/// Submits the job and proceeds until its tasks are placed, the last one at another shard.
fn place_gang(owner: &mut Owner, store: &mut Store) -> (WorkId, Vec<TaskId>) {
    owner.submit(gang("g", GANG_TASKS));
    owner.flush_journal(store);
    let work = borrow_request(owner).expect("the job must request other shards");
    let plan = owner.shard.begin_borrowing(&work, at(0)).unwrap();
    assert_eq!(plan.missing, 1);
    let tasks = owner
        .shard
        .record_borrowing(&work, &[reserved(1)], at(0))
        .unwrap();
    owner.collect_effects();
    (work, tasks)
}

/// Proceeds like `place_gang` and then starts all tasks.
fn start_gang(owner: &mut Owner, store: &mut Store) -> (WorkId, Vec<TaskId>) {
    let (work, tasks) = place_gang(owner, store);
    owner.flush_journal(store);
    owner.shard.finish_borrowing(&work, true, at(0));
    owner.collect_effects();
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

/// Reports the task list of the borrowed worker.
fn report_borrowed(owner: &mut Owner, incarnation: u64, tasks: Vec<TaskReport>, now: Timestamp) {
    let worker = worker(OTHER_WORKER).worker;
    owner
        .shard
        .on_borrowed_inventory(&worker, Incarnation::new(incarnation), tasks, now);
    owner.collect_effects();
}

fn stops_sent(owner: &Owner) -> usize {
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
    /// Guards against a job that waits forever although the failure domain has capacity, or that is refused as too
    /// large.
    requests_other_shards: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        assert!(borrow_request(&owner).is_some());
    }

    /// Guards against acceptance of a job that no hosts of the failure domain could hold.
    larger_than_the_domain: store, owner => {
        let waiter = owner.submit(gang("g", 5));
        owner.flush_journal(&mut store);
        assert_eq!(owner.reply_name(waiter), ResultCode::NeverFits.name());
    }

    /// Guards against splitting a job that requires distinct racks, which no single shard can check.
    racks_are_not_split: store, owner => {
        let mut job = gang("g", GANG_TASKS);
        job.spec.placement.spread = Spread::Racks;
        let waiter = owner.submit(job);
        owner.flush_journal(&mut store);
        assert_eq!((owner.reply_name(waiter).as_str(), borrow_request(&owner)), ("never_fits", None));
    }

    /// Guards against starting tasks before the others are certain, or before the use of the worker is durable.
    nothing_before_the_record: store, owner => {
        let (work, _) = place_gang(&mut owner, &mut store);
        assert!(!owner.shard.borrowing_recorded(&work));
        owner.flush_journal(&mut store);
        assert!(owner.shard.borrowing_recorded(&work));
        assert_eq!(owner.starts_sent(), 0);
        owner.shard.finish_borrowing(&work, true, at(0));
        owner.collect_effects();
        assert_eq!(owner.starts_sent(), 2);
    }

    /// Guards against own capacity that stays allocated, and against a lost job, when too little could be reserved.
    own_capacity_is_released: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        let work = borrow_request(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.end_borrowing(&work, at(0));
        owner.submit(gang("two", 2));
        owner.flush_journal(&mut store);
        assert_eq!(state(&owner, &work), Some(WorkState::Waiting));
        owner.shard.cancel(Default::default(), &work, "by a test", at(0));
        owner.flush_journal(&mut store);
        assert_eq!(owner.starts_sent(), 2);
    }

    /// Guards against starting a job that was cancelled while its capacity was being reserved.
    cancelled_meanwhile: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        let work = borrow_request(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.cancel(Default::default(), &work, "by a test", at(0));
        owner.flush_journal(&mut store);
        assert!(owner.shard.record_borrowing(&work, &[reserved(1)], at(0)).is_none());
        owner.shard.end_borrowing(&work, at(0));
        owner.submit(gang("two", 2));
        owner.flush_journal(&mut store);
        assert_eq!(owner.starts_sent(), 2);
    }

    /// Guards against starting a job that an operator held while its capacity was being reserved.
    held_meanwhile: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        let work = borrow_request(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        assert!(owner.shard.hold(&work));
        assert!(owner.shard.record_borrowing(&work, &[reserved(1)], at(0)).is_none());
        owner.shard.end_borrowing(&work, at(0));
        assert_eq!(state(&owner, &work), Some(WorkState::Held));
    }

    /// Guards against a job that is retried only when the shard's own workers free capacity.
    retried_periodically: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        let work = borrow_request(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        owner.shard.end_borrowing(&work, at(0));
        owner.effects.clear();
        owner.shard.tick(at(900));
        owner.collect_effects();
        assert_eq!(borrow_request(&owner), None);
        owner.shard.tick(at(1_600));
        owner.collect_effects();
        assert_eq!(borrow_request(&owner), Some(work));
    }

    /// Guards against tasks that keep running after one lender refused the commit.
    all_or_nothing: store, owner => {
        let (work, _) = place_gang(&mut owner, &mut store);
        owner.flush_journal(&mut store);
        owner.shard.finish_borrowing(&work, false, at(0));
        owner.collect_effects();
        assert_eq!((stops_sent(&owner), owner.starts_sent()), (3, 0));
    }

    /// Guards against a job that ends without its tasks at other shards, or whose end is missed.
    tracks_borrowed_tasks: store, owner => {
        let (work, tasks) = start_gang(&mut owner, &mut store);
        let done = |task| report(task, TaskPhase::Succeeded("a".to_owned()));
        owner.heartbeat(WORKER, vec![done(&tasks[0]), done(&tasks[1])]);
        owner.flush_journal(&mut store);
        assert_eq!(owner.shard.borrowed_workers().len(), 1);
        report_borrowed(&mut owner, 1, vec![done(&tasks[2])], at(0));
        owner.flush_journal(&mut store);
        assert!(matches!(state(&owner, &work), Some(WorkState::Ended(_))));
        assert!(owner.shard.borrowed_workers().is_empty());
    }

    /// Guards against tasks that keep running although one was never started because its lender died after the commit.
    missing_task: store, owner => {
        start_gang(&mut owner, &mut store);
        report_borrowed(&mut owner, 1, Vec::new(), at(2_900));
        assert_eq!(stops_sent(&owner), 0);
        report_borrowed(&mut owner, 1, Vec::new(), at(3_000));
        assert_eq!(stops_sent(&owner), 3);
    }

    /// Guards against restarting at-most-once work after a borrowed worker lost one of its tasks.
    restarted_worker: store, owner => {
        let (work, tasks) = start_gang(&mut owner, &mut store);
        report_borrowed(&mut owner, 1, vec![report(&tasks[2], TaskPhase::Running)], at(0));
        report_borrowed(&mut owner, 2, Vec::new(), at(0));
        let gone = |task| report(task, TaskPhase::Stopped { started: true });
        owner.heartbeat(WORKER, vec![gone(&tasks[0]), gone(&tasks[1])]);
        owner.flush_journal(&mut store);
        assert!(matches!(state(&owner, &work), Some(WorkState::Ended(_))));
        assert_eq!(owner.starts_sent(), 2);
    }

    /// Guards against a successor that does not fence a borrowed worker and starts the job while it runs.
    successor_fences: store, owner => {
        let (work, tasks) = start_gang(&mut owner, &mut store);
        let mut successor = Owner::claim(&mut store, "s2", None).unwrap();
        successor.shard.forget_borrowed_workers(|id| *id == worker(WORKER).worker);
        let running = |task| report(task, TaskPhase::Running);
        successor.serve(&mut store, 2, 8, vec![running(&tasks[0]), running(&tasks[1])]);
        assert_eq!(successor.starts_sent(), 0);
        successor.fence(OTHER_WORKER, vec![running(&tasks[2])]);
        assert_eq!(state(&successor, &work), Some(WorkState::Running));
        assert_eq!(successor.shard.borrowed_workers().len(), 1);
        assert_eq!((successor.starts_sent(), stops_sent(&successor)), (0, 0));
    }

    /// Guards against a successor that stops a running job because one of its tasks had ended before it was reported.
    successor_finds_an_ended_task: store, owner => {
        let (work, tasks) = start_gang(&mut owner, &mut store);
        let mut successor = Owner::claim(&mut store, "s2", None).unwrap();
        successor.shard.forget_borrowed_workers(|id| *id == worker(WORKER).worker);
        let running = |task| report(task, TaskPhase::Running);
        successor.serve(&mut store, 2, 8, vec![running(&tasks[0]), running(&tasks[1])]);
        successor.fence(OTHER_WORKER, vec![report(&tasks[2], TaskPhase::Succeeded("a".to_owned()))]);
        assert_eq!(state(&successor, &work), Some(WorkState::Running));
        assert_eq!((successor.starts_sent(), stops_sent(&successor)), (0, 0));
    }

    /// Guards against a job that a successor reports as succeeded although one of its tasks was stopped.
    successor_finds_a_stopped_task: store, owner => {
        let (work, tasks) = start_gang(&mut owner, &mut store);
        let mut successor = Owner::claim(&mut store, "s2", None).unwrap();
        successor.shard.forget_borrowed_workers(|id| *id == worker(WORKER).worker);
        let (gone, running) = (TaskPhase::Stopped { started: true }, TaskPhase::Running);
        successor.serve(&mut store, 2, 8, vec![report(&tasks[0], gone), report(&tasks[1], running.clone())]);
        successor.fence(OTHER_WORKER, vec![report(&tasks[2], running)]);
        assert_ne!(state(&successor, &work), Some(WorkState::Running));
        assert_eq!(stops_sent(&successor), 2);
    }

    /// Guards against borrowed workers that every successor has to fence forever.
    released_in_the_journal: store, owner => {
        let (_, tasks) = start_gang(&mut owner, &mut store);
        owner.shard.release_borrowed_workers();
        owner.flush_journal(&mut store);
        let done = |task| report(task, TaskPhase::Succeeded("a".to_owned()));
        owner.heartbeat(WORKER, vec![done(&tasks[0]), done(&tasks[1])]);
        report_borrowed(&mut owner, 1, vec![done(&tasks[2])], at(0));
        owner.flush_journal(&mut store);
        owner.shard.release_borrowed_workers();
        owner.flush_journal(&mut store);
        let successor = Owner::claim(&mut store, "s2", None).unwrap();
        assert_eq!(successor.shard.unfenced().len(), 1);
    }

    /// Guards against a start by an owner that is handing the shard over.
    not_while_handing_over: store, owner => {
        owner.submit(gang("g", GANG_TASKS));
        owner.flush_journal(&mut store);
        let work = borrow_request(&owner).unwrap();
        owner.shard.begin_borrowing(&work, at(0)).unwrap();
        let snapshot = owner.export(&mut store);
        assert_eq!(snapshot.unsent, std::slice::from_ref(&work));
        assert!(owner.shard.record_borrowing(&work, &[reserved(1)], at(0)).is_none());
    }
}
