//! Single placement decisions.

use lagoon_core::placement::{ClosedReason, Fleet};
use lagoon_core::policy::Percent;
use lagoon_core::unit::Resources;

use crate::util::{add, anywhere, id, over_racks, res, small_fleet};

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($fleet:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $fleet = small_fleet();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against allocations above a worker's capacity.
    allocation_beyond_capacity(fleet) {
        fleet.allocate(&id(0), res(8, 8, 0)).unwrap();
        let error = fleet.allocate(&id(0), res(3, 1, 0)).unwrap_err();
        assert_eq!(error.code().number(), 6001);
        assert_eq!(error.unreserved, res(2, 2, 0));
        assert_eq!(fleet.in_use(), res(8, 8, 0));
    }

    /// Guards against an allocation on a worker that was removed.
    allocation_on_unknown_worker(fleet) {
        assert!(fleet.remove_worker(&id(0)));
        assert!(fleet.allocate(&id(0), res(1, 1, 0)).is_err());
    }

    /// Guards against fragmentation: small tasks spread over all workers, so that a large one no longer fits.
    best_fit_fills_used_workers_first(fleet) {
        fleet.allocate(&id(2), res(5, 1, 0)).unwrap();
        assert_eq!(fleet.place(&res(4, 1, 0), &anywhere()), Some(id(2)));
    }

    /// Guards against a best fit by processors for a task that mainly needs memory.
    best_fit_follows_the_dominant_dimension(fleet) {
        fleet.allocate(&id(1), res(5, 0, 0)).unwrap();
        fleet.allocate(&id(3), res(0, 5, 0)).unwrap();
        assert_eq!(fleet.place(&res(1, 4, 0), &anywhere()), Some(id(3)));
    }

    /// Guards against accelerators that tasks without need of them make unusable.
    plain_tasks_leave_accelerators_free(fleet) {
        add(&mut fleet, 9, 3, res(10, 10, 4));
        for _ in 0..4 {
            assert_ne!(fleet.place(&res(10, 10, 0), &anywhere()), Some(id(9)));
        }
        assert_eq!(fleet.place(&res(1, 1, 4), &anywhere()), Some(id(9)));
    }

    /// Guards against a worker that is opened when one of its closed reasons ends and another still applies.
    reasons_are_independent(fleet) {
        for number in 1..4 {
            fleet.remove_worker(&id(number));
        }
        fleet.close(&id(0), ClosedReason::Draining);
        fleet.close(&id(0), ClosedReason::Rested);
        fleet.open(&id(0), ClosedReason::Rested);
        assert_eq!(fleet.place(&res(1, 1, 0), &anywhere()), None);
        fleet.open(&id(0), ClosedReason::Draining);
        assert_eq!(fleet.place(&res(1, 1, 0), &anywhere()), Some(id(0)));
    }

    /// Guards against a task on a rack that its placement policy does not allow.
    allowed_racks_only(fleet) {
        let mut policy = anywhere();
        policy.racks.push("r1".parse().unwrap());
        let first = fleet.place(&res(10, 10, 0), &policy);
        let second = fleet.place(&res(10, 10, 0), &policy);
        assert!(first >= Some(id(2)) && second >= Some(id(2)));
        assert_eq!(fleet.place(&res(1, 1, 0), &policy), None);
    }

    /// Guards against allocations that remain after a gang job did not fit.
    gang_allocates_all_or_nothing(fleet) {
        assert!(fleet.place_gang(5, &res(6, 6, 0), &anywhere()).is_none());
        assert_eq!(fleet.in_use(), Resources::ZERO);
        assert_eq!(fleet.place_gang(4, &res(6, 6, 0), &anywhere()).unwrap().len(), 4);
        assert_eq!(fleet.in_use(), res(24, 24, 0));
    }

    /// Guards against a gang job that is placed on one rack although it asks for a spread over racks.
    gang_spreads_over_racks(fleet) {
        let placed = fleet.place_gang(2, &res(2, 2, 0), &over_racks()).unwrap();
        let racks = placed.iter().map(|worker| fleet.get(worker).unwrap().rack().clone());
        let racks: Vec<_> = racks.collect();
        assert_ne!(racks[0], racks[1]);
    }

    /// Guards against a spread gang job that can't be placed because it has more tasks than there are racks.
    spread_gang_fills_the_fleet(fleet) {
        assert_eq!(fleet.place_gang(8, &res(5, 5, 0), &over_racks()).unwrap().len(), 8);
        assert_eq!(fleet.place(&res(1, 1, 0), &anywhere()), None);
    }

    /// Guards against racks that stay excluded after a spread gang job was placed.
    spread_leaves_no_rack_excluded(fleet) {
        fleet.place_gang(2, &res(1, 1, 0), &over_racks()).unwrap();
        assert!(fleet.place_gang(2, &res(10, 10, 0), &anywhere()).is_some());
    }

    /// Guards against work that waits forever because no host could hold it, and against the refusal of work that fits.
    never_fits(fleet) {
        fleet.allocate(&id(0), res(10, 10, 0)).unwrap();
        assert!(fleet.can_ever_fit(4, &res(10, 10, 0), &anywhere()));
        assert!(!fleet.can_ever_fit(5, &res(10, 10, 0), &anywhere()));
        assert!(!fleet.can_ever_fit(1, &res(11, 1, 0), &anywhere()));
        assert!(!fleet.can_ever_fit(1, &res(1, 1, 1), &anywhere()));
        let mut policy = anywhere();
        policy.racks.push("r1".parse().unwrap());
        assert!(!fleet.can_ever_fit(3, &res(10, 10, 0), &policy));
    }

    /// Guards against new work on a worker whose tasks use more than they declared.
    usage_above_the_declared_size_counts(fleet) {
        fleet.allocate(&id(0), res(2, 2, 0)).unwrap();
        fleet.observe_usage(&id(0), res(9, 9, 0));
        assert_eq!(fleet.free(&id(0)), Some(res(1, 1, 0)));
        fleet.observe_usage(&id(0), res(1, 1, 0));
        assert_eq!(fleet.free(&id(0)), Some(res(8, 8, 0)));
    }

    /// Guards against a change of capacity that drops the allocations of running work.
    upsert_keeps_allocations(fleet) {
        fleet.allocate(&id(0), res(8, 8, 0)).unwrap();
        add(&mut fleet, 0, 5, res(9, 9, 0));
        assert_eq!(fleet.free(&id(0)), Some(res(1, 1, 0)));
        assert_eq!(fleet.total_capacity(), res(39, 39, 0));
    }

    /// Guards against new work on a worker whose capacity shrank below its allocations.
    shrunken_worker_takes_no_work(fleet) {
        fleet.allocate(&id(0), res(8, 2, 0)).unwrap();
        add(&mut fleet, 0, 0, res(7, 10, 0));
        assert!(fleet.allocate(&id(0), res(0, 1, 0)).is_err());
        for _ in 0..30 {
            assert_ne!(fleet.place(&res(0, 1, 0), &anywhere()), Some(id(0)));
        }
    }

    /// Guards against a release of more resources than are allocated.
    release_of_unallocated_resources(fleet) {
        fleet.allocate(&id(0), res(2, 2, 0)).unwrap();
        assert!(!fleet.release(&id(0), res(3, 2, 0)));
        assert_eq!(fleet.in_use(), res(2, 2, 0));
    }
}

/// Guards against resources reclaimed without a margin, from memory, or from tasks that no usage report covers yet.
#[test]
fn reclaiming_keeps_margin_memory_and_unobserved_allocations() {
    let mut fleet = Fleet::with_reclaim(Percent::new(20));
    add(&mut fleet, 0, 0, res(100, 100, 0));
    fleet.allocate(&id(0), res(80, 50, 0)).unwrap();
    assert_eq!(fleet.free(&id(0)), Some(res(20, 50, 0)));
    fleet.observe_covered_usage(&id(0), res(10, 10, 0), res(80, 50, 0));
    assert_eq!(fleet.free(&id(0)), Some(res(74, 50, 0)));
    fleet.allocate(&id(0), res(70, 10, 0)).unwrap();
    assert_eq!(fleet.free(&id(0)), Some(res(4, 40, 0)));
    assert!(fleet.allocate(&id(0), res(5, 1, 0)).is_err());
}
