//! Tests of the reports for operators.

use lagoon_jobs::report::WaitReason;
use lagoon_jobs::spec::StepSpec;

use crate::harness::{Harness, advice_requests, job_id, record, recovering, step};

/// Returns why the tasks of each step wait.
fn reasons(harness: &Harness) -> Vec<Option<WaitReason>> {
    let report = harness
        .dispatcher
        .report_job(job_id(1), harness.now)
        .unwrap();
    report.steps.iter().map(|step| step.waits_for).collect()
}

cases! {
    /// Guards against a waiting job whose reported reason does not tell an operator what to look at.
    a_step_waits_for_capacity_or_for_earlier_steps {
        let mut harness = Harness::with(&[("e1", 1)]);
        let second = StepSpec { after: [0].into_iter().collect(), ..step(1, 1) };
        harness.submit(1, "urgent", vec![step(2, 1), second]);
        let request = harness.start_all().remove(0);
        assert_eq!(reasons(&harness), [Some(WaitReason::Room), Some(WaitReason::EarlierSteps)]);
        let report = harness.dispatcher.report_job(job_id(1), harness.now).unwrap();
        let run = &report.steps[0].runs[0];
        assert_eq!((run.task, run.phase), (request.task, "running"));
        assert_eq!(run.executor.to_string(), "e1");
    }

    /// Guards against a report that names missing capacity while the job waits for the adviser.
    a_step_waits_for_the_adviser {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "advised", vec![step(1, 1)]);
        assert_eq!(reasons(&harness), [Some(WaitReason::MemberToAsk)]);
        let sent = advice_requests(&harness.plan());
        assert_eq!(sent.len(), 1);
        assert_eq!(reasons(&harness), [Some(WaitReason::Adviser)]);
    }

    /// Guards against an inherited job that waits eight seconds without a reported reason.
    an_inherited_step_waits_for_unreported_executors {
        let mut dispatcher = recovering(2, &[("e1", 4)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Default::default(), now);
        let harness = Harness::serve(dispatcher);
        assert_eq!(reasons(&harness), [Some(WaitReason::UnheardExecutors)]);
    }

    /// Guards against an executor that gets no work without a reported reason.
    a_suspect_executor_is_reported_with_the_remaining_time {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.dispatcher.hold_failed(lagoon_jobs::fleet::ExecutorSlot::new(0), harness.now);
        let executors = harness.dispatcher.report_executors(harness.now);
        assert!(executors[0].silent && executors[0].rests_for.is_some());
        assert!(!executors[1].silent && executors[1].rests_for.is_none());
    }
}
