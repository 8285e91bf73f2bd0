//! Planned handover: what the owner and the successor may do at each step.

use crate::model::{Owner, Store, WORKER, at, batch, request};
use lagoon_core::ResultCode;
use lagoon_core::id::Ticket;
use lagoon_core::shard::{Deduplication, RequestResult, ShardPhase};
use lagoon_core::work::WorkState;

/// Owner of a new shard that serves with the given number of free slots.
fn serving(store: &mut Store, free: u32) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, free, Vec::new());
    owner
}

fn ticketed(ticket: &Ticket) -> lagoon_core::shard::Submission {
    request(Deduplication::Ticket(ticket.clone()))
}

fn keyed(key: &str) -> lagoon_core::shard::Submission {
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
    /// Guards against work that is accepted although the successor would never hear of it.
    no_new_work(8): _store, owner => {
        let ticket = owner.ticket();
        assert!(owner.shard.begin_hand_over(at(0)));
        let waiter = owner.submit(ticketed(&ticket));
        assert_eq!(owner.said(waiter), "handing_over");
        assert_eq!(owner.shard.issue_tickets(1, at(0)).unwrap_err().code, ResultCode::HandingOver);
        assert_eq!(owner.sent(), 0);
    }

    /// Guards against a second handover while one is under way.
    begins_once(8): _store, owner => {
        assert!(owner.shard.begin_hand_over(at(0)));
        assert!(!owner.shard.begin_hand_over(at(0)));
    }

    /// Guards against an export while a request runs whose answer the table would miss.
    waits_for_requests(8): _store, owner => {
        let ticket = owner.ticket();
        owner.submit(ticketed(&ticket));
        owner.shard.begin_hand_over(at(0));
        assert!(!owner.shard.requests_done());
        owner.answer(RequestResult::Answered("a".to_owned()));
        assert!(owner.shard.requests_done());
    }

    /// Guards against a retry at the successor that gets another answer or runs the request again.
    kept_answer(8): store, owner => {
        let ticket = owner.ticket();
        owner.submit(ticketed(&ticket));
        owner.answer(RequestResult::Answered("a".to_owned()));
        let offer = owner.export(&mut store);
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        let waiter = next.submit(ticketed(&ticket));
        assert_eq!((next.said(waiter).as_str(), next.sent()), ("answer a", 0));
    }

    /// Guards against an unused ticket that is lost with its epoch, or that runs at both owners.
    unused_ticket(8): store, owner => {
        let ticket = owner.ticket();
        let offer = owner.export(&mut store);
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        next.submit(ticketed(&ticket));
        owner.submit(ticketed(&ticket));
        assert_eq!((owner.sent(), next.sent()), (0, 1));
    }

    /// Guards against a waiting request whose ticket stays used up: it was never sent, so the successor may run it.
    waiting_request(0): store, owner => {
        let ticket = owner.ticket();
        let waiter = owner.submit(ticketed(&ticket));
        let offer = owner.export(&mut store);
        assert_eq!(owner.said(waiter), "handing_over");
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        next.submit(ticketed(&ticket));
        assert_eq!((owner.sent(), next.sent()), (0, 1));
    }

    /// Guards against a second run of a request that did not end in time.
    request_in_flight(8): store, owner => {
        let ticket = owner.ticket();
        owner.submit(ticketed(&ticket));
        let offer = owner.export(&mut store);
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        let waiter = next.submit(ticketed(&ticket));
        assert_eq!((next.said(waiter).as_str(), next.sent()), ("answer_lost", 0));
    }

    /// Guards against a recorded request that was never sent and ends as "not known" at the successor.
    recorded_request(0): store, owner => {
        let accepted = owner.submit(keyed("k"));
        owner.pump(&mut store);
        let offer = owner.export(&mut store);
        assert_eq!((owner.said(accepted).as_str(), offer.unsent.len()), ("nothing", 1));
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        assert_eq!(next.sent(), 1);
    }

    /// Guards against a recorded request in flight that counts as not started.
    recorded_in_flight(8): store, owner => {
        owner.submit(keyed("k"));
        owner.pump(&mut store);
        assert_eq!(owner.sent(), 1);
        let offer = owner.export(&mut store);
        assert!(offer.unsent.is_empty());
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        let waiter = next.submit(keyed("k"));
        next.pump(&mut store);
        assert_eq!((next.said(waiter).as_str(), next.sent()), ("host_lost", 0));
    }

    /// Guards against a recorded job that is started during the handover or lost by it.
    recorded_job(8): store, owner => {
        let offer = {
            owner.shard.begin_hand_over(at(0));
            owner.shard.abort_hand_over(at(0));
            owner.submit(batch("k"));
            owner.shard.begin_hand_over(at(0));
            owner.pump(&mut store);
            owner.shard.release_leases();
            owner.shard.export(at(0)).unwrap()
        };
        owner.collect();
        let mut next = Owner::take_over(&mut store, "s2", offer).unwrap();
        next.serve(&mut store, 2, 8, Vec::new());
        assert_eq!((owner.started(), next.started()), (0, 1));
    }

    /// Guards against an export that leaves an accepted job behind.
    export_needs_commit(8): store, owner => {
        owner.submit(batch("k"));
        owner.shard.begin_hand_over(at(0));
        owner.shard.release_leases();
        assert!(owner.shard.export(at(0)).is_none());
        owner.pump(&mut store);
        assert!(owner.shard.export(at(0)).is_some());
    }

    /// Guards against a successor that waits for leases to end, and against a renewal that undoes the release.
    leases_released(8): _store, owner => {
        owner.shard.begin_hand_over(at(0));
        owner.shard.release_leases();
        owner.collect();
        assert_eq!(owner.released(), [1]);
        owner.beat(WORKER, Vec::new());
        assert_eq!(owner.released(), [1]);
        owner.granted(WORKER, Vec::new());
        assert_eq!(owner.released(), [1, 1]);
    }

    /// Guards against a write after the export, which would make the successor's claim fail or miss an entry.
    nothing_written_after_export(8): store, owner => {
        owner.submit(keyed("k"));
        owner.pump(&mut store);
        let offer = owner.export(&mut store);
        owner.answer(RequestResult::Answered("a".to_owned()));
        owner.pump(&mut store);
        assert!(Owner::take_over(&mut store, "s2", offer).is_some());
    }

    /// Guards against two owners after a successor's answer was lost: it claimed the shard, so the owner must go.
    lost_answer(8): store, owner => {
        let ticket = owner.ticket();
        let offer = owner.export(&mut store);
        let next = Owner::take_over(&mut store, "s2", offer);
        assert!(next.is_some());
        owner.shard.abort_hand_over(at(0));
        owner.pump(&mut store);
        owner.submit(ticketed(&ticket));
        assert_eq!((owner.halted(), owner.sent()), (Some(ResultCode::NotOwner), 0));
    }

    /// Guards against a claim that arrives after the owner has resumed and run tickets of the exported table.
    delayed_claim(8): store, owner => {
        let ticket = owner.ticket();
        let offer = owner.export(&mut store);
        owner.shard.abort_hand_over(at(0));
        owner.pump(&mut store);
        assert_eq!(owner.shard.phase(), ShardPhase::Serving);
        owner.beat(WORKER, Vec::new());
        owner.free_slots(WORKER, 8);
        owner.submit(ticketed(&ticket));
        assert_eq!(owner.sent(), 1);
        assert!(Owner::take_over(&mut store, "s2", offer).is_none());
    }

    /// Guards against an owner that resumes without proof: while the store is down a claim may have taken effect.
    store_down(8): store, owner => {
        let ticket = owner.ticket();
        owner.export(&mut store);
        store.down = true;
        owner.shard.abort_hand_over(at(0));
        owner.pump(&mut store);
        let waiter = owner.submit(ticketed(&ticket));
        assert_eq!((owner.said(waiter).as_str(), owner.sent()), ("handing_over", 0));
        assert_eq!(owner.shard.phase(), ShardPhase::HandingOver);
    }

    /// Guards against tasks that stop by themselves while a failed handover waits for the store.
    renews_while_resuming(8): store, owner => {
        owner.export(&mut store);
        store.down = true;
        owner.shard.abort_hand_over(at(0));
        let worker = WORKER.parse().unwrap();
        assert!(owner.shard.on_heartbeat_sending(&worker, at(0)).is_some());
    }

    /// Guards against a shard that stays closed after a handover that ended before anything was sent.
    resumes_without_store(8): store, owner => {
        store.down = true;
        owner.shard.begin_hand_over(at(0));
        owner.shard.abort_hand_over(at(0));
        assert_eq!(owner.shard.phase(), ShardPhase::Serving);
        let ticket = owner.ticket();
        owner.submit(ticketed(&ticket));
        assert_eq!(owner.sent(), 1);
    }

    /// Guards against inherited work that is started again because a failed handover skipped the rest of the fencing.
    resumes_fencing(8): store, owner => {
        owner.submit(batch("k"));
        owner.pump(&mut store);
        assert_eq!(owner.started(), 1);
        let mut next = Owner::claim(&mut store, "s2", None).unwrap();
        next.shard.begin_fencing(at(0));
        assert_eq!(next.shard.phase(), ShardPhase::Fencing);
        assert!(next.shard.begin_hand_over(at(0)));
        next.shard.abort_hand_over(at(0));
        assert_eq!(next.shard.phase(), ShardPhase::Fencing);
        let unresolved = next.shard.list(None, None, 10);
        assert!(unresolved.iter().all(|view| view.state == WorkState::Unresolved));
        assert_eq!(unresolved.len(), 1);
    }
}
