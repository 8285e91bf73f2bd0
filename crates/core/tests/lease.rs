//! The holder's view of a worker lease, and the worker's life cycle.

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
    run: u64,
) -> Result<LeaseChange, ResultCode> {
    let (epoch, run) = (Epoch::new(epoch), Incarnation::new(run));
    lease.on_sending(at(sent));
    lease
        .on_granted(
            at(sent),
            at(received),
            epoch,
            run,
            Millis::new(2_000),
            Millis::new(5_000),
        )
        .map_err(|refusal| refusal.code)
}

/// Sent at 1000, answered at 1300: ends at 3000 for the holder and by 3300 at the worker, tasks stop by 8300, margin 100.
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

fn renewal_out() -> WorkerLease {
    let mut lease = granted();
    lease.on_sending(at(2_000));
    lease
}

fn refused() -> WorkerLease {
    let mut lease = granted();
    lease.on_refused();
    lease
}

fn never() -> WorkerLease {
    WorkerLease::new(Millis::new(100))
}

fn late_answer() -> WorkerLease {
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
    /// Guards against a start that arrives after the worker gave the lease to another holder.
    sends_before_the_margin: granted(), may_send, 2_899 => true;
    /// Guards against a lease counted from the answer instead of the request.
    no_send_within_the_margin: granted(), may_send, 2_900 => false;
    /// Guards against a send without a lease.
    no_send_before_a_grant: never(), may_send, 0 => false;
    /// Guards against a send after the worker refused a renewal.
    no_send_after_a_refusal: refused(), may_send, 1_400 => false;
    /// Guards against a late answer to an older request that shortens the lease.
    older_answer_keeps_the_newer_end: late_answer(), may_send, 3_850 => true;
    /// Guards against a renewal that leaves no time for another try.
    renewal_due_after_a_quarter: granted(), renewal_due, 1_500 => true;
    /// Guards against renewals that are sent all the time.
    renewal_not_due_before: granted(), renewal_due, 1_499 => false;
    /// Guards against two renewals at once.
    renewal_not_due_while_one_is_out: renewal_out(), renewal_due, 2_900 => false;
    /// Guards against a lease that is never noticed as lost.
    lost_at_its_end: granted(), is_expired, 3_000 => true;
    /// Guards against a lease given up early.
    not_lost_before_its_end: granted(), is_expired, 2_999 => false;
    /// Guards against a second start while the task may still run: tasks count from the answer.
    tasks_may_run_before: granted(), tasks_certainly_stopped, 8_399 => false;
    /// Guards against work that waits forever for a lost worker.
    tasks_lapse: granted(), tasks_certainly_stopped, 8_400 => true;
    /// Guards against a renewal that took effect although its answer was lost.
    unanswered_renewal_extends: renewal_unanswered(), tasks_certainly_stopped, 10_399 => false;
    /// Guards against an unanswered renewal that blocks for good.
    unanswered_renewal_ends: renewal_unanswered(), tasks_certainly_stopped, 10_400 => true;
    /// Guards against a renewal that takes effect after the tasks were counted as stopped.
    renewal_on_its_way: renewal_out(), tasks_certainly_stopped, 60_000 => false;
    /// Guards against a new owner that counts on renewals that it did not make.
    never_granted_never_lapses: never(), tasks_certainly_stopped, 60_000 => false;
}

macro_rules! grants {
    ($($(#[$doc:meta])* $name:ident: $epoch:literal, $run:literal => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(grant(&mut granted(), 2_000, 2_100, $epoch, $run), $expected);
            }
        )*
    };
}

grants! {
    /// Guards against a renewal that asks for a full inventory each time.
    same_epoch_renews: 4, 1 => Ok(LeaseChange::Renewed);
    /// Guards against an inventory that is not read after a change of holder.
    higher_epoch_is_new: 5, 1 => Ok(LeaseChange::New);
    /// Guards against tasks that are taken to run on after the worker was restarted.
    higher_run_is_a_restart: 5, 2 => Ok(LeaseChange::Restarted);
    /// Guards against an epoch that goes back.
    lower_epoch: 3, 1 => Err(ResultCode::EpochInvariant);
    /// Guards against an answer of an earlier run of the worker.
    lower_run: 4, 0 => Err(ResultCode::EpochInvariant);
}

const GRANT: WorkerEvent = WorkerEvent::Granted(Epoch::new(4));

macro_rules! lives {
    ($($(#[$doc:meta])* $name:ident: [$($event:expr),*] => $phase:ident, $accepts:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut life = WorkerLifecycle::new();
                let events: &[WorkerEvent] = &[$($event),*];
                for event in events {
                    life.handle(*event).unwrap();
                }
                assert_eq!(life.phase(), WorkerPhase::$phase);
                assert_eq!(life.accepts_new_work(), $accepts);
            }
        )*
    };
}

lives! {
    /// Guards against placement without a lease.
    starts_without_lease: [] => Unleased, false;
    /// Guards against a worker that never takes work.
    leased: [GRANT] => Leased, true;
    /// Guards against placement on a worker that stopped answering.
    suspect: [GRANT, WorkerEvent::RenewalTimedOut] => Suspect, false;
    /// Guards against a worker that stays suspect after it answered.
    recovered: [GRANT, WorkerEvent::RenewalTimedOut, GRANT] => Leased, true;
    /// Guards against placement after the lease ended.
    ended: [GRANT, WorkerEvent::RenewalTimedOut, WorkerEvent::LeaseEnded] => Unleased, false;
    /// Guards against new work on a leaving host.
    draining: [GRANT, WorkerEvent::HostLeaving, GRANT] => Draining, false;
    /// Guards against a leaving mark that is lost together with the lease.
    leaving_outlasts_the_lease: [GRANT, WorkerEvent::HostLeaving, WorkerEvent::LeaseEnded, GRANT] => Draining, false;
    /// Guards against a leaving mark that is lost before the first grant.
    leaving_before_the_lease: [WorkerEvent::HostLeaving, GRANT] => Draining, false;
    /// Guards against a host that never takes work again.
    returned: [GRANT, WorkerEvent::HostLeaving, WorkerEvent::HostReturned, GRANT] => Leased, true;
    /// Guards against a dead host that comes back by a late answer.
    gone_is_final: [GRANT, WorkerEvent::HostGone, GRANT] => Gone, false;
}

/// Guards against a life cycle that follows an older holder.
#[test]
fn life_refuses_a_lower_epoch() {
    let mut life = WorkerLifecycle::new();
    life.handle(GRANT).unwrap();
    let refusal = life
        .handle(WorkerEvent::Granted(Epoch::new(3)))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::EpochInvariant);
    assert_eq!(life.epoch(), Epoch::new(4));
}
