//! Callers: what they submit and the replies they get.

use lagoon_core::RefusalClass;
use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::id::Ticket;
use lagoon_core::shard::{Deduplication, Effect, Reply, Submission, WaiterId};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};
use lagoon_core::work::{Outcome, PlacementPolicy, Repeatability, WorkKind, WorkSpec};

use super::{PROCESSES, World};

impl World {
    pub(super) fn halt(&mut self, process: usize, refusal: &Refusal) {
        assert_eq!(
            refusal.code,
            ResultCode::NotOwner,
            "process {process}: {refusal}"
        );
        let Some(mut shard) = self.processes[process].shard.take() else {
            return;
        };
        shard.abandon();
        for effect in shard.take_effects() {
            if let Effect::Reply { waiter, reply } = effect {
                self.reply(process, waiter, reply);
            }
        }
    }

    pub(super) fn reply(&mut self, process: usize, waiter: WaiterId, reply: Reply) {
        let Some(payload) = self.processes[process].waiters.remove(&waiter) else {
            return;
        };
        match reply {
            Reply::Accepted { view, .. } => self.accepted.push(view.work.clone()),
            Reply::Ended {
                outcome: Outcome::Refused(refusal),
                ..
            } => {
                self.refused(&payload, &refusal);
                self.ended.insert(payload);
            }
            Reply::Ended { .. } => drop(self.ended.insert(payload)),
            Reply::Refused(refusal) => {
                self.refused(&payload, &refusal);
                if refusal.class() == RefusalClass::NotRun {
                    self.ended.insert(payload);
                }
            }
        }
    }

    pub(super) fn refused(&mut self, payload: &str, refusal: &Refusal) {
        // A refusal because of an unknown id concerns the command, not the work.
        if refusal.class() == RefusalClass::NotRun && refusal.code != ResultCode::UnknownWork {
            self.invariants.on_refused(payload);
        }
    }

    pub(super) fn submit_job(&mut self, n: u8, kind: WorkKind) {
        let payload = self.new_payload();
        let key = payload.parse().unwrap();
        let tasks = if kind == WorkKind::Gang {
            2 + u32::from(n % 3)
        } else {
            1
        };
        let repeatability = match n % 2 {
            0 => Repeatability::Restartable,
            _ => Repeatability::AtMostOnce,
        };
        let spec = WorkSpec {
            kind,
            team: "t".parse().unwrap(),
            priority: Default::default(),
            deadline: (n % 16 == 3).then(|| self.now.after(Millis::new(3_000))),
            resources: Resources::new(
                Millicores::new(1_000 + 500 * u64::from(n % 4)),
                Bytes::new(1 << 30),
            ),
            task_count: tasks,
            run_time: Millis::new(200 + 10 * u64::from(n)),
            repeatability,
            placement: PlacementPolicy::default(),
            service: None,
            payload,
        };
        let wait_for_end = n.is_multiple_of(3);
        self.submit(n, Deduplication::Journal(key), spec, wait_for_end);
    }

    pub(super) fn submit_request(&mut self, n: u8, with_ticket: bool) {
        let payload = self.new_payload();
        let process = usize::from(n) % PROCESSES;
        let deduplication = match (with_ticket, n % 4) {
            (true, 0) => Deduplication::Journal(payload.parse().unwrap()),
            (true, _) => match self.issue_ticket(process) {
                Some(ticket) => Deduplication::Ticket(ticket),
                None => return,
            },
            (false, _) => Deduplication::Once,
        };
        let spec = WorkSpec {
            kind: WorkKind::Service,
            team: "t".parse().unwrap(),
            priority: Default::default(),
            deadline: (n % 8 == 5).then(|| self.now.after(Millis::new(1_000))),
            resources: Resources::ZERO,
            task_count: 1,
            run_time: Millis::new(50 * u64::from(n % 16)),
            repeatability: Repeatability::AtMostOnce,
            placement: PlacementPolicy::default(),
            service: Some("s".parse().unwrap()),
            payload,
        };
        self.submit(n, deduplication, spec, true);
    }

    pub(super) fn issue_ticket(&mut self, process: usize) -> Option<Ticket> {
        let now = self.now;
        let issued = self.with_shard(process, |shard| shard.issue_tickets(1, now))?;
        issued.ok().and_then(|mut tickets| tickets.pop())
    }

    pub(super) fn submit(
        &mut self,
        n: u8,
        deduplication: Deduplication,
        spec: WorkSpec,
        wait_for_end: bool,
    ) {
        let fingerprint = spec.fingerprint();
        let submission = Submission {
            deduplication,
            spec,
            fingerprint,
            wait_for_end,
        };
        self.submissions.push(submission.clone());
        self.send(usize::from(n) % PROCESSES, submission);
    }

    pub(super) fn send(&mut self, process: usize, submission: Submission) {
        if matches!(submission.deduplication, Deduplication::Journal(_)) {
            // The caller submits the work anew, so an earlier refusal of the same key no longer binds.
            self.invariants.on_resubmitted(&submission.spec.payload);
        }
        let (waiter, now) = (
            self.new_waiter(process, submission.spec.payload.clone()),
            self.now,
        );
        let sent = self.with_shard(process, |shard| shard.submit(waiter, submission, now));
        if sent.is_none() {
            self.processes[process].waiters.remove(&waiter);
        }
    }

    pub(super) fn repeat(&mut self, n: u8) {
        let count = self.submissions.len();
        if count == 0 {
            return;
        }
        let submission = self.submissions[usize::from(n) % count].clone();
        // Callers must not retry work that has neither a ticket nor a key.
        if submission.deduplication != Deduplication::Once {
            self.send(usize::from(n / 3) % PROCESSES, submission);
        }
    }

    pub(super) fn cancel(&mut self, n: u8) {
        let count = self.accepted.len();
        if count == 0 {
            return;
        }
        let work = self.accepted[usize::from(n) % count].clone();
        let now = self.now;
        for process in 0..PROCESSES {
            let shard = self.processes[process].shard.as_ref();
            let view = shard.and_then(|shard| shard.work(&work));
            let Some(payload) = view
                .map(|view| view.spec.payload.clone())
                .filter(|p| !p.is_empty())
            else {
                continue;
            };
            let waiter = self.new_waiter(process, payload);
            self.with_shard(process, |shard| shard.cancel(waiter, &work, "test", now));
        }
    }

    pub(super) fn new_waiter(&mut self, process: usize, payload: String) -> WaiterId {
        self.next_payload += 1;
        let waiter = WaiterId::new(self.next_payload.into());
        self.processes[process].waiters.insert(waiter, payload);
        waiter
    }

    pub(super) fn new_payload(&mut self) -> String {
        self.next_payload += 1;
        format!("p{}", self.next_payload)
    }
}
