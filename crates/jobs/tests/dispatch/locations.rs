//! Tests of the stored locations of long-running tasks, and of when a later owner starts such a task again.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{Dispatcher, Recovering, StartRequest};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Epoch, Incarnation};
use lagoon_jobs::job::{JobRecord, Progress};
use lagoon_jobs::run::{Listing, RunOutcome, StartOutcome};
use lagoon_jobs::spec::{JobSpec, StepSpec};

use crate::harness::{
    Harness, LEASE, MAX_LEASE, end, entry, job_id, limits, listing, policy, record, starts, step,
};

/// Time in which an earlier owner may renew leases after the claim of a later one.
const RENEWAL: u64 = 3_000;
/// Time after which no request of an earlier owner, or on an earlier clock, can have an effect.
const EARLIER_REQUESTS: u64 = RENEWAL + 12_000 + 10_400;

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_executor: Some(1),
        ..step(count, 1)
    }
}

/// Starts job 1 and returns its starts and its stored progress, after the executors have listed the runs.
fn place(harness: &mut Harness, steps: Vec<StepSpec>) -> (Vec<StartRequest>, Progress) {
    harness.submit(1, "urgent", steps);
    let started = harness.start_all();
    for request in &started {
        list_run(harness, request, 1);
    }
    (started, stored_progress(harness))
}

fn list_run(harness: &mut Harness, request: &StartRequest, incarnation: u64) {
    let sent_at = harness.now;
    harness.advance(10);
    let running = [(request.task, request.number.get())];
    let listed = Listing {
        incarnation: Some(Incarnation::new(incarnation)),
        ..listing(harness.now, &running, vec![])
    };
    harness
        .dispatcher
        .listed(request.slot, &listed, sent_at, harness.now);
}

/// Stores what waits to be written, and returns the progress of job 1 as a later owner reads it.
fn stored_progress(harness: &mut Harness) -> Progress {
    let written = harness.record_all().into_iter();
    let of_job = written.filter(|(id, _)| *id == job_id(1)).last();
    let progress = of_job.map(|(_, progress)| progress).unwrap_or_default();
    serde_json::from_slice(&serde_json::to_vec(&progress).unwrap()).unwrap()
}

fn located(progress: &Progress) -> Vec<u32> {
    let steps = progress.steps.iter();
    let locations = steps.flat_map(|step| &step.locations);
    locations.map(|row| row.index).collect()
}

/// Returns the next owner, which has read the progress of job 1, with executors "e1" and "e2".
fn next_owner(steps: Vec<StepSpec>, progress: &Progress) -> (Dispatcher<Recovering>, Timestamp) {
    let now = Timestamp::from_millis(1_000);
    // The longest lease of the users' deployments makes inherited work wait for 13.3 s.
    let limits = lagoon_jobs::dispatch::DispatchLimits {
        max_lease: Millis::new(10_000),
        ..limits()
    };
    let mut next = Dispatcher::open(Epoch::new(2), limits, now);
    next.set_policy(policy());
    for id in ["e1", "e2"] {
        next.observe(entry(id, 8), now);
    }
    next.load(job_id(1), record("urgent", steps), progress, now);
    (next, now)
}

/// Returns the longest time for which a lease of an earlier owner lasts in a known incarnation after the claim of the next
/// owner, on a clock that is 2% slow.
fn longest_intended_lease() -> u64 {
    RENEWAL + LEASE.get() * 100 / 98
}

/// Returns the number of starts within a time, with ticks, location passes and writes to the store.
fn starts_within(harness: &mut Harness, ms: u64) -> usize {
    let end = harness.now.after(Millis::new(ms));
    let mut count = 0;
    while harness.now < end {
        harness.dispatcher.tick(harness.now);
        count += starts(&harness.plan()).len();
        harness.record_all();
    }
    count
}

cases! {
    /// Guards against a lost long-running task that has no run for 13.3 s after a takeover, because its executor may have
    /// restarted unnoticed, which can't keep a run of the known incarnation alive.
    a_lost_task_starts_again_when_its_lease_has_expired {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (started, progress) = place(&mut harness, vec![long_running(1)]);
        assert_eq!(started[0].slot.get(), 0);
        let (mut next, now) = next_owner(vec![long_running(1)], &progress);
        next.listed(ExecutorSlot::new(1), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(next);
        assert_eq!(starts_within(&mut harness, longest_intended_lease()), 0);
        assert_eq!(starts_within(&mut harness, 100), 1);
    }

    /// Guards against long-running tasks that wait for executors on which they do not run.
    a_task_waits_only_for_its_own_executor {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (started, progress) = place(&mut harness, vec![long_running(2)]);
        assert_eq!(located(&progress), [0, 1]);
        let on_second = started.iter().find(|request| request.slot.get() == 1).unwrap();
        let (mut next, now) = next_owner(vec![long_running(2)], &progress);
        let ended = vec![end(1, on_second.task, on_second.number.get(), RunOutcome::Lapsed)];
        next.listed(ExecutorSlot::new(1), &listing(now, &[], ended), now, now);
        let mut harness = Harness::serve(next);
        harness.record_all();
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].task, on_second.task);
    }

    /// Guards against a second run of a task whose start was not confirmed by a listing: the earlier owner may have started it
    /// late on an executor that restarted unnoticed, which grants the longest lease.
    a_task_without_a_location_waits_for_the_longest_lease {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        harness.submit(1, "urgent", vec![long_running(1)]);
        let request = starts(&harness.plan()).remove(0);
        harness.dispatcher.started(&request, StartOutcome::Unknown { connection_age: None }, harness.now);
        let progress = stored_progress(&mut harness);
        assert!(located(&progress).is_empty());
        let (mut next, now) = next_owner(vec![long_running(1)], &progress);
        next.listed(ExecutorSlot::new(1), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(next);
        assert_eq!(starts_within(&mut harness, RENEWAL + 10_000 * 100 / 98), 0);
        assert_eq!(starts_within(&mut harness, 300), 1);
    }

    /// Guards against a second run beside one that is kept alive by a late request of this owner, whose lease end is a time on
    /// the clock of an earlier incarnation.
    no_location_is_stored_while_a_request_on_an_earlier_clock_may_take_effect {
        let mut harness = Harness::with(&[("e1", 8)]);
        let restarted = Listing {
            incarnation: Some(Incarnation::new(2)),
            ..listing(harness.now, &[], vec![])
        };
        harness.dispatcher.listed(ExecutorSlot::new(0), &restarted, harness.now, harness.now);
        harness.register("e1", 8, 2);
        let restarted_at = harness.now;
        harness.submit(1, "urgent", vec![long_running(1)]);
        let request = harness.start_all().remove(0);
        list_run(&mut harness, &request, 2);
        assert!(located(&stored_progress(&mut harness)).is_empty());
        let longest = 12_000 + MAX_LEASE.get() * 100 / 98;
        harness.advance(longest - harness.now.since(restarted_at).get() - 20);
        list_run(&mut harness, &request, 2);
        assert!(located(&stored_progress(&mut harness)).is_empty());
        harness.advance(200);
        list_run(&mut harness, &request, 2);
        assert_eq!(located(&stored_progress(&mut harness)), [0]);
    }

    /// Guards against the same when the request is given up only after the restart is known, because this owner was paused.
    a_request_given_up_after_the_restart_defers_the_location {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(2, "urgent", vec![step(1, 1)]);
        let late = starts(&harness.plan()).remove(0);
        let restarted = Listing {
            incarnation: Some(Incarnation::new(2)),
            ..listing(harness.now, &[], vec![])
        };
        harness.dispatcher.listed(ExecutorSlot::new(0), &restarted, harness.now, harness.now);
        harness.register("e1", 8, 2);
        harness.submit(1, "urgent", vec![long_running(1)]);
        let request = harness.start_all().remove(0);
        harness.advance(18_000);
        harness.dispatcher.started(&late, StartOutcome::Unknown { connection_age: None }, harness.now);
        harness.advance(12_000 + MAX_LEASE.get() * 100 / 98);
        list_run(&mut harness, &request, 2);
        assert!(located(&stored_progress(&mut harness)).is_empty());
        harness.advance(200);
        list_run(&mut harness, &request, 2);
        assert_eq!(located(&stored_progress(&mut harness)), [0]);
    }

    /// Guards against the same with a request of an earlier owner, which may know an earlier incarnation of the executor.
    a_later_owner_stores_locations_once_earlier_requests_have_no_effect {
        let (mut next, now) = next_owner(vec![long_running(1)], &Progress::default());
        for slot in 0..2 {
            next.listed(ExecutorSlot::new(slot), &listing(now, &[], vec![]), now, now);
        }
        let mut harness = Harness::serve(next);
        let request = harness.start_all().remove(0);
        list_run(&mut harness, &request, 1);
        assert!(located(&stored_progress(&mut harness)).is_empty());
        harness.advance(EARLIER_REQUESTS - 1_000);
        list_run(&mut harness, &request, 1);
        assert!(located(&stored_progress(&mut harness)).is_empty());
        harness.advance(1_000);
        list_run(&mut harness, &request, 1);
        assert_eq!(located(&stored_progress(&mut harness)), [0]);
    }

    /// Guards against a second run after a takeover between two starts: the stored location still named the first one.
    a_located_task_starts_again_only_after_its_location_is_removed {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (started, progress) = place(&mut harness, vec![long_running(1)]);
        assert_eq!(located(&progress), [0]);
        harness.ended(&started[0], RunOutcome::Failed);
        assert!(starts(&harness.plan()).is_empty());
        assert!(located(&stored_progress(&mut harness)).is_empty());
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against the same while the later owner has not removed the location yet.
    an_inherited_location_is_removed_before_the_next_start {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (_, progress) = place(&mut harness, vec![long_running(1)]);
        let (mut next, now) = next_owner(vec![long_running(1)], &progress);
        for slot in 0..2 {
            next.listed(ExecutorSlot::new(slot), &listing(now, &[], vec![]), now, now);
        }
        let mut harness = Harness::serve(next);
        assert!(starts(&harness.plan()).is_empty());
        assert!(located(&stored_progress(&mut harness)).is_empty());
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against a second run of a task that goes on where its location says, once that executor answers again.
    a_task_that_runs_on_is_adopted {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (started, progress) = place(&mut harness, vec![long_running(1)]);
        let (mut next, now) = next_owner(vec![long_running(1)], &progress);
        next.listed(ExecutorSlot::new(1), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(next);
        harness.advance(2_000);
        list_run(&mut harness, &started[0], 1);
        assert_eq!(starts_within(&mut harness, 10_000), 0);
        // The stored location still holds, so that nothing is written for it.
        assert!(harness.record_all().is_empty());
    }

    /// Guards against tasks of other kinds that are written to the store each time they start.
    tasks_that_end_by_themselves_have_no_location {
        let mut harness = Harness::with(&[("e1", 8)]);
        let (_, progress) = place(&mut harness, vec![step(2, 1)]);
        assert_eq!(progress, Progress::default());
    }

    /// Guards against progress that is larger than the store takes.
    a_step_with_many_tasks_has_no_locations {
        let many = StepSpec { need: lagoon_core::unit::Resources::ZERO, ..long_running(1_001) };
        let mut harness = Harness::with(&[("e1", 8)]);
        let (started, progress) = place(&mut harness, vec![many]);
        assert_eq!(started.len(), 1);
        assert!(located(&progress).is_empty());
    }

    /// Guards against a second run after a takeover by an owner of an earlier version, which leaves the location in the store
    /// when it starts the task again. It can't read records with a definition of the queue.
    a_job_of_an_earlier_version_has_no_locations {
        let mut harness = Harness::with(&[("e1", 8)]);
        let spec = JobSpec::new("p", vec![long_running(1)], None).unwrap();
        let earlier = JobRecord::new("urgent".parse().unwrap(), harness.now, spec);
        harness.dispatcher.submit(job_id(1), earlier, harness.now);
        let request = harness.start_all().remove(0);
        list_run(&mut harness, &request, 1);
        assert!(located(&stored_progress(&mut harness)).is_empty());
    }

    /// Guards against a long-running gang that starts again beside a member which may still run.
    a_gang_waits_for_all_its_members {
        let gang = || StepSpec { gang: true, ..long_running(2) };
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let (started, progress) = place(&mut harness, vec![gang()]);
        assert_eq!(located(&progress), [0, 1]);
        let on_second = started.iter().find(|request| request.slot.get() == 1).unwrap();
        let (mut next, now) = next_owner(vec![gang()], &progress);
        let ended = vec![end(1, on_second.task, on_second.number.get(), RunOutcome::GangBroken)];
        next.listed(ExecutorSlot::new(1), &listing(now, &[], ended), now, now);
        // A third executor, so that there is room for the gang.
        next.observe(entry("e3", 8), now);
        next.listed(ExecutorSlot::new(2), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(next);
        harness.record_all();
        assert_eq!(starts_within(&mut harness, longest_intended_lease()), 0);
        assert_eq!(starts_within(&mut harness, 100), 2);
    }
}
