//! Workers held for a gang job: which ones, how many and for how long.

use lagoon_core::id::WorkerId;
use lagoon_core::placement::{ClosedReason, Fleet};
use lagoon_core::policy::Percent;
use lagoon_core::unit::{Bytes, Millicores, Resources};
use lagoon_core::work::PlacementPolicy;

const WORKERS: usize = 8;
const QUARTER: Percent = Percent::new(25);
const HALF: Percent = Percent::new(50);

fn res(amount: u64) -> Resources {
    Resources::new(Millicores::new(amount), Bytes::new(amount))
}

fn id(number: usize) -> WorkerId {
    format!("w{number}").parse().unwrap()
}

fn anywhere() -> PlacementPolicy {
    PlacementPolicy::default()
}

/// Returns eight workers with a capacity of 10, each with ten tasks of size 1.
fn full_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..WORKERS {
        fleet.upsert_worker(id(number), "r0".parse().unwrap(), res(10));
        for _ in 0..10 {
            fleet.allocate(&id(number), res(1)).unwrap();
        }
    }
    fleet
}

/// Ends one task on each worker, and places a new task of size 1 for each.
fn churn(fleet: &mut Fleet) {
    for number in 0..WORKERS {
        fleet.release(&id(number), res(1));
        fleet.place(&res(1), &anywhere());
    }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($fleet:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $fleet = full_fleet();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against a gang job that waits forever because small tasks take all freed capacity.
    freed_capacity_accumulates_on_held_workers(fleet) {
        for _ in 0..100 {
            churn(&mut fleet);
            assert!(fleet.place_gang(2, &res(8), &anywhere()).is_none());
        }
        fleet.hold_for_gang(2, &res(8), &anywhere(), QUARTER);
        assert!(!fleet.hold_is_ready());
        for _ in 0..8 {
            churn(&mut fleet);
        }
        assert!(fleet.hold_is_ready());
        assert!(fleet.place_held_gang(2, &res(8), &anywhere()).is_some());
    }

    /// Guards against a hold that leaves no workers for small tasks.
    held_share_is_bounded(fleet) {
        fleet.hold_for_gang(8, &res(8), &anywhere(), QUARTER);
        assert_eq!(fleet.held_capacity(), res(20));
        fleet.hold_for_gang(8, &res(8), &anywhere(), HALF);
        assert_eq!(fleet.held_capacity(), res(40));
    }

    /// Guards against a hold above a quarter of the fleet for more tasks than the job has.
    no_more_than_one_worker_for_each_task(fleet) {
        fleet.hold_for_gang(4, &res(5), &anywhere(), Percent::FULL);
        assert_eq!(fleet.held_capacity(), res(40));
    }

    /// Guards against held workers that stay closed to other work after the hold.
    end_opens_the_workers(fleet) {
        fleet.hold_for_gang(8, &res(8), &anywhere(), Percent::FULL);
        fleet.release(&id(3), res(1));
        assert_eq!(fleet.place(&res(1), &anywhere()), None);
        fleet.end_hold();
        assert_eq!(fleet.held_capacity(), Resources::ZERO);
        assert_eq!(fleet.place(&res(1), &anywhere()), Some(id(3)));
    }

    /// Guards against workers that stay closed to other work once the job has started.
    start_opens_the_workers(fleet) {
        fleet.hold_for_gang(1, &res(2), &anywhere(), QUARTER);
        (0..4).for_each(|_| churn(&mut fleet));
        assert!(fleet.place_held_gang(1, &res(2), &anywhere()).is_some());
        let mut remaining = 0;
        while fleet.place(&res(1), &anywhere()).is_some() {
            remaining += 1;
        }
        // Four tasks of 1 ended on each of the two held workers, and the job took 2.
        assert_eq!(remaining, 6);
    }

    /// Guards against a failed placement that opens the held workers to small tasks.
    failed_placement_keeps_the_hold(fleet) {
        fleet.hold_for_gang(2, &res(8), &anywhere(), QUARTER);
        (0..4).for_each(|_| churn(&mut fleet));
        assert!(fleet.place_held_gang(2, &res(8), &anywhere()).is_none());
        assert_eq!(fleet.place(&res(1), &anywhere()), None);
        assert_eq!(fleet.held_capacity(), res(20));
    }

    /// Guards against a hold that keeps workers full of services, which never end.
    unchanged_workers_are_replaced(fleet) {
        let services = [0, 1];
        fleet.hold_for_gang(2, &res(8), &anywhere(), QUARTER);
        for _ in 0..20 {
            for number in (0..WORKERS).filter(|number| !services.contains(number)) {
                if fleet.release(&id(number), res(1)) {
                    fleet.place(&res(1), &anywhere());
                }
            }
            fleet.replan_hold();
            fleet.hold_for_gang(2, &res(8), &anywhere(), QUARTER);
        }
        assert!(fleet.place_held_gang(2, &res(8), &anywhere()).is_some());
    }

    /// Guards against a hold that counts as ready although its workers accept no work any more.
    closed_workers_are_not_ready(fleet) {
        fleet.hold_for_gang(1, &res(2), &anywhere(), Percent::new(13));
        (0..2).for_each(|_| churn(&mut fleet));
        assert!(fleet.hold_is_ready());
        (0..WORKERS).for_each(|number| {
            fleet.close(&id(number), ClosedReason::Draining);
        });
        assert!(!fleet.hold_is_ready());
    }

    /// Guards against a removed worker that still counts, and against a hold on the worker that reuses its slot.
    removed_worker_leaves_the_hold(fleet) {
        fleet.hold_for_gang(1, &res(8), &anywhere(), QUARTER);
        (0..WORKERS).for_each(|number| {
            fleet.remove_worker(&id(number));
        });
        fleet.upsert_worker(id(9), "r0".parse().unwrap(), res(10));
        assert!(!fleet.hold_is_ready());
        assert_eq!(fleet.place(&res(1), &anywhere()), Some(id(9)));
        fleet.replan_hold();
        assert_eq!(fleet.held_capacity(), Resources::ZERO);
    }

    /// Guards against held workers outside the racks that the job allows.
    only_allowed_racks_are_held(fleet) {
        fleet.upsert_worker(id(8), "r1".parse().unwrap(), res(10));
        fleet.allocate(&id(8), res(10)).unwrap();
        let mut policy = anywhere();
        policy.racks.push("r1".parse().unwrap());
        fleet.hold_for_gang(4, &res(8), &policy, Percent::FULL);
        assert_eq!(fleet.held_capacity(), res(10));
    }
}
