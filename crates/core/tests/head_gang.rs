//! Which gang job has the first place, and how much of the fleet is held for it.

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
    ($($(#[$meta:meta])* $name:ident($first:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $first = HeadGang::default();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against workers held for a job that waits only briefly.
    nothing_is_held_at_first(first) {
        assert_eq!(first.record_not_placed(&work(1), at(0), at(0)), None);
        let share = first.record_not_placed(&work(1), at(0), at(1));
        assert_eq!(share, Some(QUARTER));
    }

    /// Guards against a job larger than the first bound that waits forever.
    share_grows_with_the_wait(first) {
        first.record_not_placed(&work(1), at(0), at(0));
        let share = |first: &mut HeadGang, time| first.record_not_placed(&work(1), at(0), at(time));
        assert_eq!(share(&mut first, 30), Some(QUARTER));
        assert_eq!(share(&mut first, 31), Some(HALF));
        assert_eq!(share(&mut first, 100_000), Some(Percent::FULL));
    }

    /// Guards against a newer job that overtakes an older one for which workers are to be held.
    the_oldest_job_gets_the_first_place(first) {
        first.record_not_placed(&work(2), at(2), at(2));
        first.record_not_placed(&work(3), at(3), at(2));
        first.record_not_placed(&work(1), at(1), at(2));
        assert_eq!(first.work(), Some(&work(1)));
        assert_eq!(first.record_not_placed(&work(2), at(2), at(20)), None);
    }

    /// Guards against a hold that moves to another job before the first one has started.
    first_place_is_kept_once_workers_are_held(first) {
        first.record_not_placed(&work(2), at(2), at(3));
        assert!(first.record_not_placed(&work(2), at(2), at(13)).is_some());
        assert_eq!(first.record_not_placed(&work(1), at(1), at(14)), None);
        assert_eq!(first.work(), Some(&work(2)));
    }

    /// Guards against a hold that ends with other work, or does not end with its own.
    only_its_own_end_frees_the_place(first) {
        first.record_not_placed(&work(1), at(0), at(0));
        assert!(!first.remove(&work(2)));
        assert!(first.remove(&work(1)));
        assert_eq!(first.work(), None);
    }

    /// Guards against workers held for a job that its team's quota keeps from starting.
    untried_job_gives_up_the_place(first) {
        first.record_not_placed(&work(1), at(0), at(0));
        assert_eq!(first.timed_out(at(29)), None);
        assert_eq!(first.timed_out(at(30)), Some(work(1)));
    }
}
