//! Tests of accepted jobs whose queue is removed from the configuration.

use std::sync::Arc;

use lagoon_core::unit::Timestamp;
use lagoon_jobs::dispatch::{Dispatcher, Recovering};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Epoch, StepKey};
use lagoon_jobs::job::{JobRecord, JobState, Progress};
use lagoon_jobs::policy::{CellPolicy, Queue};
use lagoon_jobs::run::RunOutcome;
use lagoon_jobs::spec::{JobSpec, StepSpec};

use crate::harness::{
    Harness, advice_requests, job_id, limits, listing, policy, record, starts, step, stops,
};

/// Returns the next version of the configuration, without a queue.
fn policy_without(removed: &str) -> Arc<CellPolicy> {
    let policy = policy();
    let queues = policy.queues().iter().map(|queue| Queue::clone(queue));
    let kept = queues.filter(|queue| queue.name.as_str() != removed);
    let services = policy.services().to_vec();
    Arc::new(CellPolicy::new(2, kept.collect(), services))
}

/// Returns the owner at epoch 2, which knows no configuration with the queue "urgent", and an executor that runs nothing.
fn recovering_without_urgent() -> (Dispatcher<Recovering>, Timestamp) {
    let now = Timestamp::from_millis(1_000);
    let mut dispatcher = Dispatcher::open(Epoch::new(2), limits(), now);
    dispatcher.set_policy(policy_without("urgent"));
    dispatcher.observe(crate::harness::entry("e1", 8), now);
    (dispatcher, now)
}

cases! {
    /// Guards against accepted jobs that are not run to their end because the operators remove their queue meanwhile.
    later_steps_start {
        let mut harness = Harness::with(&[("e1", 8)]);
        let second = StepSpec { after: [0].into_iter().collect(), ..step(2, 1) };
        let id = harness.submit(1, "urgent", vec![step(1, 1), second]);
        let first = harness.start_all().remove(0);
        harness.dispatcher.set_policy(policy_without("urgent"));
        harness.ended(&first, RunOutcome::Done);
        let started = harness.start_all();
        assert_eq!(started.len(), 2);
        for request in &started {
            harness.ended(request, RunOutcome::Done);
        }
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
    }

    /// Guards against jobs that a node accepts by the version before, which the owner learns of after the removal.
    a_job_accepted_before_the_removal_is_known_starts {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.dispatcher.set_policy(policy_without("urgent"));
        harness.submit(1, "urgent", vec![step(1, 1)]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against jobs that a later owner, which has never known their queue, does not run.
    a_later_owner_starts_them {
        let (mut dispatcher, now) = recovering_without_urgent();
        let stored = serde_json::to_vec(&record("urgent", vec![step(1, 1)])).unwrap();
        let stored: JobRecord = serde_json::from_slice(&stored).unwrap();
        dispatcher.load(job_id(1), stored, &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        assert_eq!(starts(&Harness::serve(dispatcher).plan()).len(), 1);
    }

    /// Guards against a task that is repeated without end: its job did not fail with the last attempt, because the number
    /// of attempts was not known.
    the_last_attempt_ends_the_job {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        let first = harness.start_all().remove(0);
        harness.dispatcher.set_policy(policy_without("urgent"));
        harness.ended(&first, RunOutcome::Failed);
        let second = harness.start_all().remove(0);
        harness.ended(&second, RunOutcome::Failed);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Failed);
    }

    /// Guards against jobs of an advised queue that start without a ticket, or not at all.
    the_adviser_is_asked {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.dispatcher.set_policy(policy_without("advised"));
        harness.submit(1, "advised", vec![step(1, 1)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 5_000);
        let started = starts(&harness.plan());
        assert_eq!(started.len(), 1);
        assert!(started[0].ticket.is_some());
    }

    /// Guards against work that keeps its resources from more urgent gangs because its queue is removed.
    their_adopted_runs_are_preempted {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = Dispatcher::open(Epoch::new(2), limits(), now);
        dispatcher.set_policy(policy_without("bulk"));
        dispatcher.observe(crate::harness::entry("e1", 8), now);
        let bulk = StepSpec { saves_progress: true, ..step(1, 8) };
        dispatcher.load(job_id(1), record("bulk", vec![bulk]), &Progress::default(), now);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[(task, 1)], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.list(0, &[(task, 1)], vec![]);
        harness.submit(2, "urgent", vec![StepSpec { gang: true, ..step(2, 4) }]);
        let stopped = stops(&harness.plan());
        assert_eq!(stopped.len(), 1);
        assert_eq!(stopped[0].task, task);
    }

    /// Guards against a stored job of an earlier version, without the definition of its queue, that can't be read.
    records_without_a_definition_are_read {
        let now = Timestamp::from_millis(1_000);
        let spec = JobSpec::new("p", vec![step(1, 1)], None).unwrap();
        let earlier = JobRecord::new("urgent".parse().unwrap(), now, spec);
        let stored = serde_json::to_string(&earlier).unwrap();
        assert!(!stored.contains("definition"), "{stored}");
        assert_eq!(serde_json::from_str::<JobRecord>(&stored).unwrap(), earlier);
    }
}
