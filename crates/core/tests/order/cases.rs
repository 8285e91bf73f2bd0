use lagoon_core::order::{FairQueue, QueueEntry};
use lagoon_core::unit::{Bytes, Priority, Timestamp};
use lagoon_core::work::WorkKind;

use crate::util::{START, at, batch, count, cpu, entry, queue, start, team, work};

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($queue:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $queue = queue();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against a queue limit and a wait estimate that ignore a team's deferred entries.
    deferred_entries_still_count(queue) {
        for number in 0..10 {
            queue.push(batch(number, "light"));
        }
        queue.push(batch(10, "heavy"));
        while let Some(entry) = queue.next(START) {
            queue.defer(entry);
        }
        assert_eq!(queue.team_len(&team("light")), 10);
        assert_eq!(queue.entries_ahead(WorkKind::Batch, &team("heavy"), Priority::NORMAL), 2);
        queue.remove(&work(10));
        assert_eq!(queue.team_len(&team("heavy")), 0);
        assert_eq!(queue.entries_ahead(WorkKind::Batch, &team("light"), Priority::NORMAL), 10);
    }

    /// Guards against urgent work that waits until all deferred regular entries have been tried.
    urgent_is_retried_first(queue) {
        for number in 0..10 {
            queue.push(batch(number, "light"));
        }
        queue.push(entry(10, WorkKind::Batch, "light", Priority::HIGHEST));
        while let Some(entry) = queue.next(START) {
            queue.defer(entry);
        }
        queue.retry(1);
        assert_eq!(queue.next(START).map(|entry| entry.work), Some(work(10)));
    }

    /// Guards against a flood of one team that takes all retries while other teams wait.
    teams_take_turns_in_retries(queue) {
        for number in 0..100 {
            queue.push(batch(number, "flood"));
        }
        while let Some(entry) = queue.next(START) {
            queue.defer(entry);
        }
        queue.push(batch(200, "light"));
        let late = queue.next(START).unwrap();
        queue.defer(late);
        queue.retry(2);
        let retried = start(&mut queue, 10);
        assert_eq!(count(&retried, |entry| entry.team == team("light")), 1);
        assert_eq!(retried.len(), 2);
    }

    /// Guards against a head gang that is not the oldest deferred job, or no longer deferred.
    oldest_deferred_gang_is_known(queue) {
        for number in 0..3 {
            let mut gang = entry(number, WorkKind::Gang, "light", Priority::NORMAL);
            gang.enqueued = Timestamp::from_millis(1_000 - number);
            queue.push(gang);
        }
        while let Some(entry) = queue.next(START) {
            queue.defer(entry);
        }
        let oldest = |queue: &FairQueue| queue.oldest_deferred_gang().map(|entry| entry.work.clone());
        assert_eq!(oldest(&queue), Some(work(2)));
        queue.remove(&work(2));
        assert_eq!(oldest(&queue), Some(work(1)));
        assert!(queue.retry_work(&work(1)));
        assert_eq!(oldest(&queue), Some(work(0)));
        queue.retry(10);
        assert_eq!(oldest(&queue), None);
    }

    /// Guards against shares that ignore the teams' weights.
    weights_divide_the_fleet(queue) {
        for number in 0..100 {
            queue.push(batch(number, "heavy"));
            queue.push(batch(100 + number, "light"));
        }
        let started = start(&mut queue, 40);
        assert_eq!(count(&started, |entry| entry.team == team("heavy")), 30);
    }

    /// Guards against a flood of one kind that takes the guaranteed share of another.
    guarantee_holds_in_a_flood(queue) {
        for number in 0..200 {
            queue.push(batch(number, "flood"));
        }
        for number in 200..300 {
            queue.push(entry(number, WorkKind::Gang, "other", Priority::NORMAL));
        }
        let started = start(&mut queue, 40);
        assert_eq!(count(&started, |entry| entry.kind == WorkKind::Gang), 20);
    }

    /// Guards against an unused share that stays idle, and against a kind that exceeds its ceiling.
    unused_share_is_lent_up_to_the_ceiling(queue) {
        for number in 0..200 {
            queue.push(batch(number, "flood"));
        }
        assert_eq!(start(&mut queue, 200).len(), 90);
    }

    /// Guards against a flood of the most urgent work that takes the guarantees of other kinds.
    urgent_flood_leaves_guarantees(queue) {
        for number in 0..200 {
            queue.push(entry(number, WorkKind::Batch, "flood", Priority::HIGHEST));
        }
        for number in 200..300 {
            queue.push(entry(number, WorkKind::Gang, "other", Priority::NORMAL));
        }
        let started = start(&mut queue, 100);
        assert!(count(&started, |entry| entry.kind == WorkKind::Gang) >= 20);
    }

    /// Guards against urgent work that takes another kind's unused guaranteed share when little capacity is left.
    urgent_yields_the_last_guaranteed_part(queue) {
        queue.charge(WorkKind::Batch, &team("flood"), cpu(80));
        queue.push(entry(1, WorkKind::Batch, "flood", Priority::HIGHEST));
        queue.push(entry(2, WorkKind::Gang, "other", Priority::NORMAL));
        assert_eq!(queue.next(START).unwrap().work, work(2));
    }

    /// Guards against a flood of urgent work that starves other teams of the same kind.
    urgent_flood_leaves_turns_to_other_teams(queue) {
        for number in 0..200 {
            queue.push(entry(number, WorkKind::Batch, "flood", Priority::HIGHEST));
            queue.push(batch(1_000 + number, "other"));
        }
        let started = start(&mut queue, 50);
        assert_eq!(count(&started, |entry| entry.team == team("other")), 10);
    }

    /// Guards against urgent work that waits behind a flood of regular work.
    urgent_goes_first(queue) {
        for number in 0..100 {
            queue.push(batch(number, "flood"));
        }
        start(&mut queue, 30);
        queue.charge(WorkKind::Batch, &team("late"), cpu(5));
        queue.push(entry(500, WorkKind::Batch, "late", Priority::URGENT));
        assert_eq!(queue.next(START).unwrap().work, work(500));
    }

    /// Guards against urgent work that exceeds its team's quota.
    urgent_stays_within_quota(queue) {
        for number in 0..20 {
            queue.push(entry(number, WorkKind::Batch, "small", Priority::HIGHEST));
        }
        assert_eq!(start(&mut queue, 20).len(), 10);
        queue.uncharge(WorkKind::Batch, &team("small"), cpu(1));
        assert_eq!(start(&mut queue, 20).len(), 1);
    }

    /// Guards against a team that stays blocked after the entry that exceeded its quota was cancelled.
    cancelled_entry_unblocks_its_team(queue) {
        queue.push(QueueEntry { need: cpu(11), ..batch(1, "small") });
        queue.push(batch(2, "small"));
        assert_eq!(queue.next(START), None);
        queue.remove(&work(1));
        assert_eq!(queue.next(START).unwrap().work, work(2));
    }

    /// Guards against a later deadline or a lower priority that goes first within a team.
    priority_then_deadline(queue) {
        queue.push(QueueEntry { deadline: at(9_000), ..batch(1, "a") });
        queue.push(QueueEntry { deadline: at(8_000), ..batch(2, "a") });
        queue.push(entry(3, WorkKind::Batch, "a", "60".parse().unwrap()));
        let order: Vec<_> = start(&mut queue, 3).into_iter().map(|entry| entry.work).collect();
        assert_eq!(order, [work(3), work(2), work(1)]);
    }

    /// Guards against a deferred entry that blocks others, or that is tried after later arrivals.
    deferred_entry_does_not_block(queue) {
        queue.push(QueueEntry { enqueued: Timestamp::from_millis(1), ..batch(1, "a") });
        queue.push(batch(2, "a"));
        let first = queue.next(START).unwrap();
        queue.push(batch(3, "a"));
        assert!(queue.defer(first));
        assert_eq!(queue.next(START).unwrap().work, work(2));
        assert_eq!(queue.retry(10), 1);
        assert_eq!(queue.next(START).unwrap().work, work(1));
    }

    /// Guards against a held entry that starts.
    held_entry_waits_for_release(queue) {
        queue.push(batch(1, "a"));
        assert!(queue.hold(&work(1)));
        assert_eq!(queue.next(START), None);
        assert!(queue.release(&work(1)));
        assert!(!queue.release(&work(1)));
        assert_eq!(queue.next(START).unwrap().work, work(1));
    }

    /// Guards against work that starts after its deadline, and against expired work that is never reported.
    expired_work_is_reported_once(queue) {
        queue.push(QueueEntry { deadline: at(2_000), ..batch(1, "a") });
        queue.push(QueueEntry { deadline: at(2_001), ..batch(2, "a") });
        queue.push(QueueEntry { deadline: at(1_500), ..batch(3, "a") });
        queue.hold(&work(3));
        let now = Timestamp::from_millis(2_001);
        assert_eq!(queue.next(now).unwrap().work, work(2));
        assert_eq!(queue.take_expired(now), [work(3), work(1)]);
        assert_eq!(queue.take_expired(now), []);
        assert!(queue.is_empty());
    }

    /// Guards against a second queue entry for the same work.
    same_work_is_added_once(queue) {
        assert!(queue.push(batch(1, "a")));
        assert!(!queue.push(batch(1, "a")));
        assert_eq!((queue.len_of(WorkKind::Batch), queue.bytes_of(WorkKind::Batch)), (1, Bytes::new(10)));
    }

    /// Guards against a paused kind that is selected or blocks other kinds.
    paused_kind_is_passed_over(queue) {
        queue.push(entry(1, WorkKind::Service, "a", Priority::HIGHEST));
        queue.push(batch(2, "a"));
        queue.set_paused(WorkKind::Service, true);
        assert_eq!(queue.next(START).unwrap().work, work(2));
        assert_eq!(queue.next(START), None);
        queue.set_paused(WorkKind::Service, false);
        assert_eq!(queue.next(START).unwrap().work, work(1));
    }

    /// Guards against an estimate that counts a whole flood ahead of another team, although the teams take turns.
    entries_ahead_count_turns(queue) {
        for number in 0..1_000 {
            queue.push(batch(number, "flood"));
        }
        queue.push(batch(2_000, "other"));
        assert_eq!(queue.entries_ahead(WorkKind::Batch, &team("other"), Priority::NORMAL), 2);
        assert_eq!(queue.entries_ahead(WorkKind::Batch, &team("flood"), Priority::NORMAL), 1_001);
    }
}
