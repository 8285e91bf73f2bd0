//! Worker leases as seen by the holder, and the life cycle of a worker.

use lagoon_core::code::ResultCode;
use lagoon_core::id::{Epoch, Incarnation};
use lagoon_core::lease::{LeaseChange, WorkerEvent, WorkerLease, WorkerLifecycle, WorkerPhase};
use lagoon_core::unit::{Millis, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn grant(
    lease: &mut WorkerLease,
    sent: u64,
    received: u64,
    epoch: u64,
    incarnation: u64,
) -> Result<LeaseChange, ResultCode> {
    let (epoch, incarnation) = (Epoch::new(epoch), Incarnation::new(incarnation));
    lease.on_sending(at(sent));
    lease
        .on_granted(
            at(sent),
            at(received),
            epoch,
            incarnation,
            Millis::new(2_000),
            Millis::new(5_000),
        )
        .map_err(|refusal| refusal.code)
}

/// Returns a lease requested at 1000 and granted at 1300. It expires at 3000 for the holder and by 3300 at the worker,
/// and the tasks stop by 8300. The margin is 100.
fn granted() -> WorkerLease {
    let mut lease = WorkerLease::new(Millis::new(100));
    grant(&mut lease, 1_000, 1_300, 4, 1).unwrap();
    lease
}

fn renewal_unanswered() -> WorkerLease {
    let mut lease = granted();
    lease.on_sending(at(2_000));
    lease.on_unknown();
    lease
}

fn renewal_outstanding() -> WorkerLease {
    let mut lease = granted();
    lease.on_sending(at(2_000));
    lease
}

fn refused() -> WorkerLease {
    let mut lease = granted();
    lease.on_refused();
    lease
}

fn never_granted() -> WorkerLease {
    WorkerLease::new(Millis::new(100))
}

fn answers_out_of_order() -> WorkerLease {
    let mut lease = granted();
    grant(&mut lease, 2_000, 2_010, 4, 1).unwrap();
    grant(&mut lease, 1_500, 2_020, 4, 1).unwrap();
    lease
}

macro_rules! views {
    ($($(#[$doc:meta])* $name:ident: $lease:expr, $method:ident, $at:literal => $expected:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!($lease.$method(at($at)), $expected);
            }
        )*
    };
}

views! {
    /// Guards against a start that reaches the worker after it granted the lease to another holder.
    may_send_before_the_margin: granted(), may_send, 2_899 => true;
    /// Guards against a time to live that starts at the answer instead of the request.
    no_send_within_the_margin: granted(), may_send, 2_900 => false;
    /// Guards against a send without a lease.
    no_send_before_a_grant: never_granted(), may_send, 0 => false;
    /// Guards against a send after the worker refused a renewal.
    no_send_after_a_refusal: refused(), may_send, 1_400 => false;
    /// Guards against a late answer to an earlier request that shortens the lease.
    late_answer_does_not_shorten: answers_out_of_order(), may_send, 3_850 => true;
    /// Guards against a renewal so late that there is no time for another try.
    renewal_due_after_a_quarter: granted(), renewal_due, 1_500 => true;
    /// Guards against renewals that are sent continuously.
    renewal_not_due_before: granted(), renewal_due, 1_499 => false;
    /// Guards against two concurrent renewals.
    renewal_not_due_while_one_is_outstanding: renewal_outstanding(), renewal_due, 2_900 => false;
    /// Guards against a lease whose expiry is not detected.
    expires_at_its_end: granted(), is_expired, 3_000 => true;
    /// Guards against a lease that expires early.
    not_expired_before_its_end: granted(), is_expired, 2_999 => false;
    /// Guards against a second start while the task may still run. The tasks of a lease stop relative to its answer.
    tasks_may_run_before: granted(), tasks_certainly_stopped, 8_399 => false;
    /// Guards against work that waits forever for a worker that does not answer.
    tasks_stop: granted(), tasks_certainly_stopped, 8_400 => true;
    /// Guards against ignoring a renewal that took effect although its answer was lost.
    unanswered_renewal_extends: renewal_unanswered(), tasks_certainly_stopped, 10_399 => false;
    /// Guards against an unanswered renewal that blocks new starts forever.
    unanswered_renewal_ends: renewal_unanswered(), tasks_certainly_stopped, 10_400 => true;
    /// Guards against a renewal that takes effect after the tasks were considered stopped.
    outstanding_renewal: renewal_outstanding(), tasks_certainly_stopped, 60_000 => false;
    /// Guards against a new owner that relies on renewals that it did not send.
    never_granted_never_stops: never_granted(), tasks_certainly_stopped, 60_000 => false;
}

macro_rules! grants {
    ($($(#[$doc:meta])* $name:ident: $epoch:literal, $incarnation:literal => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(grant(&mut granted(), 2_000, 2_100, $epoch, $incarnation), $expected);
            }
        )*
    };
}

grants! {
    /// Guards against reading the full inventory after each renewal.
    same_epoch_renews: 4, 1 => Ok(LeaseChange::Renewed);
    /// Guards against skipping the inventory after a change of holder.
    higher_epoch_is_new: 5, 1 => Ok(LeaseChange::New);
    /// Guards against tasks that are considered running after the worker was restarted.
    higher_incarnation_is_a_restart: 5, 2 => Ok(LeaseChange::Restarted);
    /// Guards against an epoch that decreases.
    lower_epoch: 3, 1 => Err(ResultCode::EpochInvariant);
    /// Guards against an answer from an earlier incarnation of the worker.
    lower_incarnation: 4, 0 => Err(ResultCode::EpochInvariant);
}

const GRANT: WorkerEvent = WorkerEvent::Granted(Epoch::new(4));

macro_rules! lifecycles {
    ($($(#[$doc:meta])* $name:ident: [$($event:expr),*] => $phase:ident, $accepts:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut lifecycle = WorkerLifecycle::new();
                let events: &[WorkerEvent] = &[$($event),*];
                for event in events {
                    lifecycle.handle(*event).unwrap();
                }
                assert_eq!(lifecycle.phase(), WorkerPhase::$phase);
                assert_eq!(lifecycle.accepts_new_work(), $accepts);
            }
        )*
    };
}

lifecycles! {
    /// Guards against placement without a lease.
    starts_without_lease: [] => Unleased, false;
    /// Guards against a leased worker that is not given work.
    leased: [GRANT] => Leased, true;
    /// Guards against placement on a worker that stopped answering.
    suspect: [GRANT, WorkerEvent::RenewalTimedOut] => Suspect, false;
    /// Guards against a worker that stays suspect after it answered again.
    recovered: [GRANT, WorkerEvent::RenewalTimedOut, GRANT] => Leased, true;
    /// Guards against placement after the lease ended.
    ended: [GRANT, WorkerEvent::RenewalTimedOut, WorkerEvent::LeaseEnded] => Unleased, false;
    /// Guards against new work on a leaving host.
    draining: [GRANT, WorkerEvent::HostLeaving, GRANT] => Draining, false;
    /// Guards against forgetting that a host is leaving when its lease ends.
    leaving_outlasts_the_lease: [GRANT, WorkerEvent::HostLeaving, WorkerEvent::LeaseEnded, GRANT] => Draining, false;
    /// Guards against forgetting that a host is leaving when it has no lease yet.
    leaving_before_the_lease: [WorkerEvent::HostLeaving, GRANT] => Draining, false;
    /// Guards against a host that gets no work after it returned.
    returned: [GRANT, WorkerEvent::HostLeaving, WorkerEvent::HostReturned, GRANT] => Leased, true;
    /// Guards against a late answer that revives a dead host.
    gone_is_final: [GRANT, WorkerEvent::HostGone, GRANT] => Gone, false;
}

/// Guards against a life cycle that accepts the grant of an earlier holder.
#[test]
fn lifecycle_refuses_a_lower_epoch() {
    let mut lifecycle = WorkerLifecycle::new();
    lifecycle.handle(GRANT).unwrap();
    let refusal = lifecycle
        .handle(WorkerEvent::Granted(Epoch::new(3)))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::EpochInvariant);
    assert_eq!(lifecycle.epoch(), Epoch::new(4));
}
