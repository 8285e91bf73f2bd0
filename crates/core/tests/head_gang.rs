//! Which gang job is the head gang, and how much of the fleet is held for it.

use lagoon_core::id::WorkId;
use lagoon_core::order::HeadGang;
use lagoon_core::policy::Percent;
use lagoon_core::unit::Timestamp;

const QUARTER: Percent = Percent::new(25);
const HALF: Percent = Percent::new(50);

fn work(number: u64) -> WorkId {
    format!("w:cluj:0:1:{number}").parse().unwrap()
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($head:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $head = HeadGang::default();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against workers held for a job that has waited only briefly.
    nothing_is_held_at_first(head) {
        assert_eq!(head.record_not_placed(&work(1), at(0), at(0)), None);
        let share = head.record_not_placed(&work(1), at(0), at(1));
        assert_eq!(share, Some(QUARTER));
    }

    /// Guards against a job that waits forever because it needs more than the first bound of the held share.
    share_grows_with_the_wait(head) {
        head.record_not_placed(&work(1), at(0), at(0));
        let share = |head: &mut HeadGang, time| head.record_not_placed(&work(1), at(0), at(time));
        assert_eq!(share(&mut head, 30), Some(QUARTER));
        assert_eq!(share(&mut head, 31), Some(HALF));
        assert_eq!(share(&mut head, 100_000), Some(Percent::FULL));
    }

    /// Guards against a newer job that becomes or stays the head gang instead of an older one.
    the_oldest_job_becomes_the_head_gang(head) {
        head.record_not_placed(&work(2), at(2), at(2));
        head.record_not_placed(&work(3), at(3), at(2));
        head.record_not_placed(&work(1), at(1), at(2));
        assert_eq!(head.work(), Some(&work(1)));
        assert_eq!(head.record_not_placed(&work(2), at(2), at(20)), None);
    }

    /// Guards against a hold that moves to an older job before the head gang has started.
    head_gang_is_kept_once_workers_are_held(head) {
        head.record_not_placed(&work(2), at(2), at(3));
        assert!(head.record_not_placed(&work(2), at(2), at(13)).is_some());
        assert_eq!(head.record_not_placed(&work(1), at(1), at(14)), None);
        assert_eq!(head.work(), Some(&work(2)));
    }

    /// Guards against a head gang that is removed when other work ends, or kept when its own work ends.
    only_its_own_end_removes_the_head_gang(head) {
        head.record_not_placed(&work(1), at(0), at(0));
        assert!(!head.remove(&work(2)));
        assert!(head.remove(&work(1)));
        assert_eq!(head.work(), None);
    }

    /// Guards against workers held for a job that can't start because of its team's quota.
    untried_job_times_out(head) {
        head.record_not_placed(&work(1), at(0), at(0));
        assert_eq!(head.timed_out(at(29)), None);
        assert_eq!(head.timed_out(at(30)), Some(work(1)));
    }
}
