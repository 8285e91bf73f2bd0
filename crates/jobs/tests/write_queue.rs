//! Tests of the order in which changes of jobs are written.

use lagoon_jobs::id::JobId;
use lagoon_jobs::record::{RecordLane, WriteQueue};

/// Number of changes that fit into one write.
const WRITE: usize = 6;

fn jobs(numbers: std::ops::Range<u64>) -> Vec<JobId> {
    numbers.map(JobId::new).collect()
}

fn take(write_queue: &mut WriteQueue) -> Vec<JobId> {
    let taken = write_queue.take(RecordLane::FIRST, WRITE);
    taken.into_iter().map(|(job, _)| job).collect()
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($write_queue:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $write_queue = WriteQueue::new(1);
                $body
            }
        )*
    };
}

cases! {
    /// Guards against writing the same progress repeatedly when writes take effect but their answers are lost.
    the_changes_of_an_unanswered_write_are_not_written_again(write_queue) {
        jobs(0..2).into_iter().for_each(|job| { write_queue.mark(job); });
        let taken = write_queue.take(RecordLane::FIRST, WRITE);
        write_queue.requeue(&taken);
        let later = write_queue.mark(JobId::new(1));
        write_queue.mark_written(&taken);
        assert!(write_queue.is_durable(taken[0].0, taken[0].1));
        assert!(!write_queue.is_durable(JobId::new(1), later));
        assert_eq!(take(&mut write_queue), jobs(1..2));
    }

    /// Guards against callers that wait for seconds for a final state because other progress is written first to a slow
    /// store.
    final_states_come_first(write_queue) {
        jobs(0..10).into_iter().for_each(|job| { write_queue.mark(job); });
        jobs(20..22).into_iter().for_each(|job| { write_queue.mark_ended(job); });
        assert_eq!(take(&mut write_queue)[..2], jobs(20..22));
    }

    /// Guards against ends that are never acknowledged because final states fill every write.
    a_part_of_each_write_is_reserved_for_other_progress(write_queue) {
        jobs(0..10).into_iter().for_each(|job| { write_queue.mark(job); });
        jobs(20..40).into_iter().for_each(|job| { write_queue.mark_ended(job); });
        let taken = take(&mut write_queue);
        assert_eq!(taken.len(), WRITE);
        assert_eq!(taken[4..], jobs(0..2));
    }

    /// Guards against a write with two entries for one job, which the store refuses.
    a_job_is_taken_once(write_queue) {
        write_queue.mark(JobId::new(1));
        write_queue.mark_ended(JobId::new(1));
        assert_eq!(take(&mut write_queue), jobs(1..2));
        assert_eq!(take(&mut write_queue), jobs(0..0));
        assert_eq!(write_queue.waiting(RecordLane::FIRST), 0);
    }

    /// Guards against a change that is lost with a failed write, or that counts as durable although it was made later.
    a_failed_write_is_repeated_with_what_changed_since(write_queue) {
        let first = write_queue.mark_ended(JobId::new(1));
        let taken = write_queue.take(RecordLane::FIRST, WRITE);
        let second = write_queue.mark(JobId::new(1));
        write_queue.requeue(&taken);
        let again = write_queue.take(RecordLane::FIRST, WRITE);
        assert_eq!(again, [(JobId::new(1), second)]);
        write_queue.mark_written(&again);
        assert!(write_queue.is_durable(JobId::new(1), first));
    }
}
