//! Planned handover: what the owner and the successor may do at each step.

use crate::model::{Owner, Store, WORKER, at, batch, request};
use lagoon_core::ResultCode;
use lagoon_core::id::Ticket;
use lagoon_core::shard::{Deduplication, RequestResult, ShardPhase};
use lagoon_core::work::WorkState;

/// Creates the owner of a new shard that serves with the given number of free slots.
fn serving(store: &mut Store, free: u32) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, free, Vec::new());
    owner
}

fn with_ticket(ticket: &Ticket) -> lagoon_core::shard::Submission {
    request(Deduplication::Ticket(ticket.clone()))
}

fn with_key(key: &str) -> lagoon_core::shard::Submission {
    request(Deduplication::Journal(key.parse().unwrap()))
}

macro_rules! hand_overs {
    ($($(#[$doc:meta])* $name:ident($free:literal): $store:ident, $owner:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut $store = Store::default();
                let mut $owner = serving(&mut $store, $free);
                $body
            }
        )*
    };
}

hand_overs! {
    /// Guards against accepting work that the successor would never learn of.
    no_new_work(8): _store, owner => {
        let ticket = owner.ticket();
        assert!(owner.shard.begin_hand_over(at(0)));
        let waiter = owner.submit(with_ticket(&ticket));
        assert_eq!(owner.reply_name(waiter), "handing_over");
        assert_eq!(owner.shard.issue_tickets(1, at(0)).unwrap_err().code, ResultCode::HandingOver);
        assert_eq!(owner.requests_sent(), 0);
    }

    /// Guards against a second handover while one is in progress.
    begins_once(8): _store, owner => {
        assert!(owner.shard.begin_hand_over(at(0)));
        assert!(!owner.shard.begin_hand_over(at(0)));
    }

    /// Guards against an export while a request is running whose outcome the ticket table would miss.
    waits_for_requests(8): _store, owner => {
        let ticket = owner.ticket();
        owner.submit(with_ticket(&ticket));
        owner.shard.begin_hand_over(at(0));
        assert!(!owner.shard.requests_done());
        owner.finish_request(RequestResult::Answered("a".to_owned()));
        assert!(owner.shard.requests_done());
    }

    /// Guards against a retry at the successor that gets another outcome or runs the request again.
    kept_answer(8): store, owner => {
        let ticket = owner.ticket();
        owner.submit(with_ticket(&ticket));
        owner.finish_request(RequestResult::Answered("a".to_owned()));
        let snapshot = owner.export(&mut store);
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        let waiter = successor.submit(with_ticket(&ticket));
        assert_eq!((successor.reply_name(waiter).as_str(), successor.requests_sent()), ("answer a", 0));
    }

    /// Guards against an unused ticket that is lost with its epoch, or that runs at both owners.
    unused_ticket(8): store, owner => {
        let ticket = owner.ticket();
        let snapshot = owner.export(&mut store);
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        successor.submit(with_ticket(&ticket));
        owner.submit(with_ticket(&ticket));
        assert_eq!((owner.requests_sent(), successor.requests_sent()), (0, 1));
    }

    /// Guards against a waiting request whose ticket stays used up. It was never sent, so the successor may run it.
    waiting_request(0): store, owner => {
        let ticket = owner.ticket();
        let waiter = owner.submit(with_ticket(&ticket));
        let snapshot = owner.export(&mut store);
        assert_eq!(owner.reply_name(waiter), "handing_over");
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        successor.submit(with_ticket(&ticket));
        assert_eq!((owner.requests_sent(), successor.requests_sent()), (0, 1));
    }

    /// Guards against a second run of a request that did not end before the export.
    request_in_flight(8): store, owner => {
        let ticket = owner.ticket();
        owner.submit(with_ticket(&ticket));
        let snapshot = owner.export(&mut store);
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        let waiter = successor.submit(with_ticket(&ticket));
        assert_eq!((successor.reply_name(waiter).as_str(), successor.requests_sent()), ("answer_lost", 0));
    }

    /// Guards against a recorded request that was never sent but ends as "not known" at the successor.
    recorded_request(0): store, owner => {
        let accepted = owner.submit(with_key("k"));
        owner.flush_journal(&mut store);
        let snapshot = owner.export(&mut store);
        assert_eq!((owner.reply_name(accepted).as_str(), snapshot.unsent.len()), ("no reply", 1));
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        assert_eq!(successor.requests_sent(), 1);
    }

    /// Guards against a recorded request in flight that is treated as not started.
    recorded_in_flight(8): store, owner => {
        owner.submit(with_key("k"));
        owner.flush_journal(&mut store);
        assert_eq!(owner.requests_sent(), 1);
        let snapshot = owner.export(&mut store);
        assert!(snapshot.unsent.is_empty());
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        let waiter = successor.submit(with_key("k"));
        successor.flush_journal(&mut store);
        assert_eq!((successor.reply_name(waiter).as_str(), successor.requests_sent()), ("host_lost", 0));
    }

    /// Guards against a recorded job that is started during the handover or lost by it.
    recorded_job(8): store, owner => {
        let snapshot = {
            owner.shard.begin_hand_over(at(0));
            owner.shard.abort_hand_over(at(0));
            owner.submit(batch("k"));
            owner.shard.begin_hand_over(at(0));
            owner.flush_journal(&mut store);
            owner.shard.release_leases();
            owner.shard.export(at(0)).unwrap()
        };
        owner.collect_effects();
        let mut successor = Owner::take_over(&mut store, "s2", snapshot).unwrap();
        successor.serve(&mut store, 2, 8, Vec::new());
        assert_eq!((owner.starts_sent(), successor.starts_sent()), (0, 1));
    }

    /// Guards against an export that misses an accepted job.
    export_needs_commit(8): store, owner => {
        owner.submit(batch("k"));
        owner.shard.begin_hand_over(at(0));
        owner.shard.release_leases();
        assert!(owner.shard.export(at(0)).is_none());
        owner.flush_journal(&mut store);
        assert!(owner.shard.export(at(0)).is_some());
    }

    /// Guards against a successor that has to wait for leases to expire, and against a renewal that undoes the release.
    leases_released(8): _store, owner => {
        owner.shard.begin_hand_over(at(0));
        owner.shard.release_leases();
        owner.collect_effects();
        assert_eq!(owner.released_leases(), [1]);
        owner.heartbeat(WORKER, Vec::new());
        assert_eq!(owner.released_leases(), [1]);
        owner.grant_lease(WORKER, Vec::new());
        assert_eq!(owner.released_leases(), [1, 1]);
    }

    /// Guards against a write after the export, which would make the successor's claim fail or miss an entry.
    nothing_written_after_export(8): store, owner => {
        owner.submit(with_key("k"));
        owner.flush_journal(&mut store);
        let snapshot = owner.export(&mut store);
        owner.finish_request(RequestResult::Answered("a".to_owned()));
        owner.flush_journal(&mut store);
        assert!(Owner::take_over(&mut store, "s2", snapshot).is_some());
    }

    /// Guards against two owners after the successor's response was lost: it claimed the shard, so the owner must step
    /// down.
    lost_answer(8): store, owner => {
        let ticket = owner.ticket();
        let snapshot = owner.export(&mut store);
        let successor = Owner::take_over(&mut store, "s2", snapshot);
        assert!(successor.is_some());
        owner.shard.abort_hand_over(at(0));
        owner.flush_journal(&mut store);
        owner.submit(with_ticket(&ticket));
        assert_eq!((owner.halt_code(), owner.requests_sent()), (Some(ResultCode::NotOwner), 0));
    }

    /// Guards against a claim that arrives after the owner has resumed and run tickets of the exported table.
    delayed_claim(8): store, owner => {
        let ticket = owner.ticket();
        let snapshot = owner.export(&mut store);
        owner.shard.abort_hand_over(at(0));
        owner.flush_journal(&mut store);
        assert_eq!(owner.shard.phase(), ShardPhase::Serving);
        owner.heartbeat(WORKER, Vec::new());
        owner.report_free_slots(WORKER, 8);
        owner.submit(with_ticket(&ticket));
        assert_eq!(owner.requests_sent(), 1);
        assert!(Owner::take_over(&mut store, "s2", snapshot).is_none());
    }

    /// Guards against an owner that resumes without confirmation. While the store is down, a claim may have taken
    /// effect.
    store_down(8): store, owner => {
        let ticket = owner.ticket();
        owner.export(&mut store);
        store.down = true;
        owner.shard.abort_hand_over(at(0));
        owner.flush_journal(&mut store);
        let waiter = owner.submit(with_ticket(&ticket));
        assert_eq!((owner.reply_name(waiter).as_str(), owner.requests_sent()), ("handing_over", 0));
        assert_eq!(owner.shard.phase(), ShardPhase::HandingOver);
    }

    /// Guards against tasks that stop because they are not renewed while a failed handover waits for the store.
    renews_while_resuming(8): store, owner => {
        owner.export(&mut store);
        store.down = true;
        owner.shard.abort_hand_over(at(0));
        let worker = WORKER.parse().unwrap();
        assert!(owner.shard.on_heartbeat_sending(&worker, at(0)).is_some());
    }

    /// Guards against a shard that does not serve again after a handover that ended before the export.
    resumes_without_store(8): store, owner => {
        store.down = true;
        owner.shard.begin_hand_over(at(0));
        owner.shard.abort_hand_over(at(0));
        assert_eq!(owner.shard.phase(), ShardPhase::Serving);
        let ticket = owner.ticket();
        owner.submit(with_ticket(&ticket));
        assert_eq!(owner.requests_sent(), 1);
    }

    /// Guards against restarting inherited work because a failed handover skipped the rest of fencing.
    resumes_fencing(8): store, owner => {
        owner.submit(batch("k"));
        owner.flush_journal(&mut store);
        assert_eq!(owner.starts_sent(), 1);
        let mut successor = Owner::claim(&mut store, "s2", None).unwrap();
        successor.shard.begin_fencing(at(0));
        assert_eq!(successor.shard.phase(), ShardPhase::Fencing);
        assert!(successor.shard.begin_hand_over(at(0)));
        successor.shard.abort_hand_over(at(0));
        assert_eq!(successor.shard.phase(), ShardPhase::Fencing);
        let unresolved = successor.shard.list(None, None, 10);
        assert!(unresolved.iter().all(|view| view.state == WorkState::Unresolved));
        assert_eq!(unresolved.len(), 1);
    }
}
