//! Tests of an owner that does not know whether another member has claimed the cell since.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{DispatchLimits, Dispatcher, Effect, HoldAction, Recovering};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::Epoch;
use lagoon_jobs::job::Progress;
use lagoon_jobs::run::{StartOutcome, StartRefusal};

use crate::harness::{
    Harness, entry, job_id, limits, listing, policy, record, recovering, starts, step,
};

cases! {
    /// Guards against starts by an owner that was paused or cut off for longer than its lease in the store.
    an_owner_whose_lease_may_have_expired_starts_nothing {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        harness.now = harness.now.after(limits().owner_lease).after(Millis::new(1));
        harness.dispatcher.plan(harness.now);
        assert!(starts(&harness.dispatcher.take_effects()).is_empty());
        harness.dispatcher.confirm_ownership(harness.now);
        harness.dispatcher.plan(harness.now);
        assert_eq!(starts(&harness.dispatcher.take_effects()).len(), 1);
    }

    /// Guards against counting the lease from the answer to a confirmation, before which another member may have
    /// claimed the cell.
    a_confirmation_counts_from_its_request {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let sent_at = harness.now;
        harness.now = harness.now.after(limits().owner_lease).after(Millis::new(1));
        harness.dispatcher.confirm_ownership(sent_at);
        harness.dispatcher.plan(harness.now);
        assert!(starts(&harness.dispatcher.take_effects()).is_empty());
    }

    /// Guards against an earlier owner that renews leases of runs for longer than its successor waits.
    an_unconfirmed_owner_renews_no_lease {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        harness.start_all();
        assert!(renews_lease(&mut harness));
        harness.now = harness.now.after(limits().lease_renewal_window);
        assert!(renews_lease(&mut harness));
        harness.now = harness.now.after(Millis::new(1));
        assert!(!renews_lease(&mut harness));
    }

    /// Guards against a start that waits to be sent and leaves after the owner's lease may have expired.
    a_start_is_sent_only_while_the_lease_lasts {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = starts(&harness.plan()).remove(0);
        let end = harness.now.after(limits().owner_lease);
        assert!(harness.dispatcher.may_send(&request, end));
        harness.now = end.after(Millis::new(1));
        assert!(!harness.dispatcher.may_send(&request, harness.now));
        harness.dispatcher.started(&request, StartOutcome::Withheld, harness.now);
        harness.dispatcher.confirm_ownership(harness.now);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].slot, request.slot);
    }

    /// Guards against starts by an owner after an executor has reported a later owner.
    a_fenced_owner_starts_nothing {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = starts(&harness.plan()).remove(0);
        harness.submit(2, "urgent", vec![step(1, 1)]);
        let fenced = StartOutcome::Refused(StartRefusal::Fenced);
        harness.dispatcher.started(&request, fenced, harness.now);
        let effects = harness.plan();
        assert!(effects.iter().any(|effect| matches!(effect, Effect::StepDown)));
        assert!(starts(&effects).is_empty());
        harness.advance(10);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against an earlier owner that starts a job which was stored under a later owner.
    a_job_of_a_later_owner_makes_the_earlier_one_step_down {
        let mut harness = Harness::with(&[("e1", 8)]);
        let later = record("urgent", vec![step(1, 1)]).under(Some(Epoch::new(2)));
        harness.dispatcher.submit(job_id(1), later, harness.now);
        let effects = harness.plan();
        assert!(effects.iter().any(|effect| matches!(effect, Effect::StepDown)));
        assert!(starts(&effects).is_empty());
    }

    /// Guards against the same by an owner that reads the job while it recovers.
    a_recovering_owner_that_reads_a_job_of_a_later_one_starts_nothing {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(1, &[("e1", 8)]);
        let later = record("urgent", vec![step(1, 1)]).under(Some(Epoch::new(2)));
        dispatcher.load(job_id(1), later, &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let effects = Harness::serve(dispatcher).plan();
        assert!(effects.iter().any(|effect| matches!(effect, Effect::StepDown)));
        assert!(starts(&effects).is_empty());
    }

    /// Guards against a second run of a job that was stored under the earlier owner, which may have started it on an
    /// unreported executor.
    a_job_stored_under_the_earlier_owner_waits_for_unreported_executors {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        let earlier = record("urgent", vec![step(1, 1)]).under(Some(Epoch::new(1)));
        harness.dispatcher.submit(job_id(2), earlier, harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.submit(3, "urgent", vec![step(1, 1)]);
        assert_eq!(starts(&harness.plan()).len(), 1);
        harness.advance(9_250);
        assert_eq!(starts(&harness.plan()).len(), 2);
    }

    /// Guards against a second run beside one that an earlier owner started at the very end of its lease.
    a_later_owner_waits_out_the_leases_of_the_earlier_one {
        assert!(waits_out_lease(limits(), Millis::new(1_000), false));
    }

    /// Guards against a second run beside one on an executor that restarted unnoticed, which takes the lease end on its
    /// earlier clock as the longest lease.
    a_later_owner_waits_out_a_lease_on_the_clock_of_an_earlier_incarnation {
        let limits = DispatchLimits { max_lease: Millis::new(10_000), ..limits() };
        assert!(waits_out_lease(limits, Millis::new(60_000), true));
    }

    /// Guards against a second run beside one whose lease expires late because the reading of the executor's clock,
    /// which is 2% slow, is old.
    a_later_owner_waits_out_a_lease_granted_on_an_old_reading {
        let limits = DispatchLimits { max_lease: Millis::new(10_000), ..limits() };
        assert!(waits_out_lease(limits, Millis::new(200_000), false));
    }

    /// Guards against a second run beside one that was started late in an owner's lease, with a store whose shortest
    /// lease is long.
    a_later_owner_waits_out_starts_late_in_a_long_owner_lease {
        let limits = DispatchLimits { owner_lease: Millis::new(6_000), ..limits() };
        assert!(waits_out_lease(limits, Millis::new(1_000), false));
    }
}

/// Returns true if a later owner waits for the lease of a task that the earlier owner started at the very end of its
/// own lease, on an executor that was idle for `idle`, may have `restarted` since, and is unreported to the later owner.
fn waits_out_lease(limits: DispatchLimits, idle: Millis, restarted: bool) -> bool {
    let began = Timestamp::from_millis(1_000);
    let job = || record("urgent", vec![step(1, 1)]);
    let (first, second) = (ExecutorSlot::new(0), ExecutorSlot::new(1));
    let mut earlier = recovering_with(1, limits, &["e1"], began);
    earlier.listed(first, &listing(began, &[], vec![]), began, began);
    let mut earlier = earlier.serve(began);
    let new = earlier.unrecorded_executors(8);
    earlier.executors_recorded(&new);
    let confirmed = began.after(idle);
    earlier.confirm_ownership(confirmed);
    earlier.submit(job_id(1), job().under(Some(Epoch::new(1))), confirmed);
    let started = confirmed.after(limits.owner_lease);
    earlier.plan(started);
    let request = starts(&earlier.take_effects()).remove(0);

    // The executor's clock is right at `began` and runs 2% slow; after a restart it starts at zero.
    let clock = |at: Timestamp| match restarted {
        true => at.since(confirmed).get() * 98 / 100,
        false => began.as_millis() + at.since(began).get() * 98 / 100,
    };
    let lease_end = request
        .lease_end_ms
        .min(clock(started) + limits.max_lease.get());
    let alive = |at: Timestamp| clock(at) < lease_end;

    let claimed = confirmed.after(Millis::new(1));
    let mut later = recovering_with(2, limits, &["e1", "e2"], claimed);
    later.load(job_id(1), job(), &Progress::default(), claimed);
    later.listed(second, &listing(claimed, &[], vec![]), claimed, claimed);
    let mut later = later.serve(claimed);
    let new = later.unrecorded_executors(8);
    later.executors_recorded(&new);
    let mut now = claimed;
    while alive(now) {
        later.confirm_ownership(now);
        later.plan(now);
        if !starts(&later.take_effects()).is_empty() {
            return false;
        }
        now = now.after(Millis::new(50));
    }
    true
}

fn recovering_with(
    epoch: u64,
    limits: DispatchLimits,
    executors: &[&str],
    now: Timestamp,
) -> Dispatcher<Recovering> {
    let mut dispatcher = Dispatcher::open(Epoch::new(epoch), limits, now);
    dispatcher.set_policy(policy());
    for id in executors {
        dispatcher.observe(entry(id, 8), now);
    }
    dispatcher
}

fn renews_lease(harness: &mut Harness) -> bool {
    match harness
        .dispatcher
        .next_hold(ExecutorSlot::new(0), false, harness.now)
    {
        HoldAction::Hold(req) => req.lease_end_ms.is_some(),
        step => panic!("no hold is sent to the executor: {step:?}"),
    }
}
