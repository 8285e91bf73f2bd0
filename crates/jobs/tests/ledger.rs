//! The order in which changes of jobs are written.

use lagoon_jobs::id::JobId;
use lagoon_jobs::record::{Ledger, RecordLane};

/// Changes that fit into one write of these cases.
const WRITE: usize = 6;

fn jobs(numbers: std::ops::Range<u64>) -> Vec<JobId> {
    numbers.map(JobId::new).collect()
}

fn take(ledger: &mut Ledger) -> Vec<JobId> {
    let taken = ledger.take(RecordLane::FIRST, WRITE);
    taken.into_iter().map(|(job, _)| job).collect()
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($ledger:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $ledger = Ledger::new(1);
                $body
            }
        )*
    };
}

cases! {
    /// Guards against progress that is written again and again because only the effect of each write is seen, not its answer.
    what_an_unanswered_write_holds_is_not_written_again(ledger) {
        jobs(0..2).into_iter().for_each(|job| { ledger.mark(job); });
        let taken = ledger.take(RecordLane::FIRST, WRITE);
        ledger.put_back(&taken);
        let later = ledger.mark(JobId::new(1));
        ledger.written(&taken);
        assert!(ledger.is_durable(taken[0].0, taken[0].1));
        assert!(!ledger.is_durable(JobId::new(1), later));
        assert_eq!(take(&mut ledger), jobs(1..2));
    }

    /// Guards against callers that wait seconds for a final state behind progress that nobody asks for, while the store is
    /// slow.
    final_states_come_first(ledger) {
        jobs(0..10).into_iter().for_each(|job| { ledger.mark(job); });
        jobs(20..22).into_iter().for_each(|job| { ledger.mark_ended(job); });
        assert_eq!(take(&mut ledger)[..2], jobs(20..22));
    }

    /// Guards against ends that are never acknowledged, because final states fill every write.
    a_part_of_each_write_is_left_for_other_progress(ledger) {
        jobs(0..10).into_iter().for_each(|job| { ledger.mark(job); });
        jobs(20..40).into_iter().for_each(|job| { ledger.mark_ended(job); });
        let taken = take(&mut ledger);
        assert_eq!(taken.len(), WRITE);
        assert_eq!(taken[4..], jobs(0..2));
    }

    /// Guards against a job that takes two entries of one write, which the store refuses.
    a_job_is_taken_once(ledger) {
        ledger.mark(JobId::new(1));
        ledger.mark_ended(JobId::new(1));
        assert_eq!(take(&mut ledger), jobs(1..2));
        assert_eq!(take(&mut ledger), jobs(0..0));
        assert_eq!(ledger.waiting(RecordLane::FIRST), 0);
    }

    /// Guards against a change that is lost with a failed write, or counts as durable though it was made later.
    a_failed_write_is_repeated_with_what_changed_since(ledger) {
        let first = ledger.mark_ended(JobId::new(1));
        let taken = ledger.take(RecordLane::FIRST, WRITE);
        let second = ledger.mark(JobId::new(1));
        ledger.put_back(&taken);
        let again = ledger.take(RecordLane::FIRST, WRITE);
        assert_eq!(again, [(JobId::new(1), second)]);
        ledger.written(&again);
        assert!(ledger.is_durable(JobId::new(1), first));
    }
}
