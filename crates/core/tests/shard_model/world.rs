use std::collections::BTreeSet;
use std::sync::Arc;

use lagoon_core::RefusalClass;
use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::id::{Epoch, Incarnation, Ticket, WorkId, WorkerId};
use lagoon_core::journal::{Claim, JournalLimits, Replay};
use lagoon_core::policy::Policy;
use lagoon_core::shard::{
    Effect, ExecutorSpec, HeartbeatReport, JournalAnswer, Reply, RequestResult, Route, Shard,
    ShardConfig, ShardPhase, StartResult, Submission, TaskReport, WaiterId, WorkerSpec,
};
use lagoon_core::ticket::TicketLimits;
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources, Timestamp};
use lagoon_core::work::{Outcome, PlacementPolicy, Repeatability, WorkKind, WorkSpec};

use super::executor::{Executor, SLOTS};
use super::message::{Call, Message};
use super::process::Process;
use super::rules::Rules;
use super::step::Step;
use super::store::Store;
use super::worker::{TASK_TTL, TTL, Worker};

const WORKERS: usize = 3;
const PROCESSES: usize = 3;
/// Steps of 100 ms within which all work must end once there are no faults: ten minutes.
const MAX_SETTLE_STEPS: usize = 6_000;
const EXECUTOR: &str = "e0";

/// Everything around the shard, and what callers were told.
pub(crate) struct World {
    now: Timestamp,
    store: Store,
    workers: Vec<Worker>,
    executor: Executor,
    processes: Vec<Process>,
    messages: Vec<Message>,
    answers: Vec<(usize, Epoch, Answer)>,
    submissions: Vec<Submission>,
    works: Vec<WorkId>,
    next_payload: u32,
    rules: Rules,
    policy: Arc<Policy>,
    /// Payloads whose end was told to a caller.
    pub(crate) ended: BTreeSet<String>,
}

/// Answer to a call, on its way to the process that made it.
enum Answer {
    Lease {
        worker: usize,
        sent_at: Timestamp,
        granted: Result<Granted, bool>,
    },
    LeaseLost {
        worker: usize,
    },
    Start {
        worker: usize,
        task: lagoon_core::id::TaskId,
        result: StartResult,
    },
    Fence {
        worker: usize,
        incarnation: Incarnation,
        tasks: Vec<TaskReport>,
    },
    Request {
        work: WorkId,
        result: RequestResult,
    },
    Status(u32),
    Store(JournalAnswer),
}

struct Granted {
    epoch: Epoch,
    incarnation: Incarnation,
    tasks: Vec<TaskReport>,
    in_use: Resources,
}

impl World {
    pub(crate) fn new(policy: Policy) -> Self {
        let process = |_| Process::default();
        Self {
            now: Timestamp::from_millis(1_000_000),
            store: Store::default(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            executor: Executor::default(),
            processes: (0..PROCESSES).map(process).collect(),
            messages: Vec::new(),
            answers: Vec::new(),
            submissions: Vec::new(),
            works: Vec::new(),
            next_payload: 0,
            rules: Rules::default(),
            policy: Arc::new(policy),
            ended: BTreeSet::new(),
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.advance(Millis::new(u64::from(ms) * 4)),
            Step::Deliver(n) => self.deliver_one(n.into()),
            Step::DeliverAll => self.deliver_all(),
            Step::LoseMessage(n) => self.lose(n.into(), true),
            Step::LoseAnswer(n) => self.lose(n.into(), false),
            Step::Heartbeats => self.heartbeats(),
            Step::Fence => self.fence(),
            Step::SubmitBatch(n) => self.submit_job(n, WorkKind::Batch),
            Step::SubmitGang(n) => self.submit_job(n, WorkKind::Gang),
            Step::SubmitRequest(n) => self.submit_request(n, true),
            Step::SubmitOnce(n) => self.submit_request(n, false),
            Step::Repeat(n) => self.repeat(n),
            Step::Cancel(n) => self.cancel(n),
            Step::CancelMany => (0..8).for_each(|n| self.cancel(n)),
            Step::Claim(n) => self.claim(usize::from(n) % PROCESSES),
            Step::Pause(n) => self.processes[usize::from(n) % PROCESSES].paused = true,
            Step::Resume(n) => self.resume(usize::from(n) % PROCESSES),
            Step::Kill(n) => self.kill(usize::from(n) % PROCESSES),
            Step::StoreDown => self.store.down = true,
            Step::StoreUp => self.store.down = false,
            Step::CrashWorker(n) => self.workers[usize::from(n) % WORKERS].crash(&mut self.rules),
            Step::RestartWorker(n) => self.workers[usize::from(n) % WORKERS].restart(),
            Step::CutWorker(n) => self.workers[usize::from(n) % WORKERS].cut = true,
            Step::HealWorker(n) => self.workers[usize::from(n) % WORKERS].cut = false,
        }
    }

    /// Removes all faults, lets one process own the shard, and runs until nothing changes any more.
    pub(crate) fn settle(&mut self) {
        self.store.down = false;
        for worker in &mut self.workers {
            worker.cut = false;
            worker.restart();
        }
        for process in 0..PROCESSES {
            self.resume(process);
        }
        self.deliver_all();
        let owner = self.only_owner();
        for _ in 0..400 {
            self.heartbeats();
            self.fence();
            self.deliver_all();
            self.advance(Millis::new(100));
        }
        for index in 0..self.submissions.len() {
            let until_end = true;
            let submission = Submission {
                until_end,
                ..self.submissions[index].clone()
            };
            if submission.route != Route::Once {
                self.send(owner, submission);
            }
        }
        for _ in 0..MAX_SETTLE_STEPS {
            if self.unended().is_empty() {
                break;
            }
            self.heartbeats();
            self.deliver_all();
            self.advance(Millis::new(100));
        }
    }

    /// Ends all ownerships but the last; if its process is gone, another one claims the shard.
    fn only_owner(&mut self) -> usize {
        let last = self.store.head().map(|(head, _)| head.epoch);
        for process in 0..PROCESSES {
            let epoch = self.processes[process].shard.as_ref().map(Shard::epoch);
            if epoch != last {
                self.kill(process);
            }
        }
        let owns = |process: &Process| process.shard.is_some();
        let found = self.processes.iter().position(owns);
        found.unwrap_or_else(|| {
            self.claim(0);
            0
        })
    }

    /// Returns payloads of journalled work that never ended.
    pub(crate) fn unended(&self) -> Vec<String> {
        let journalled = self
            .submissions
            .iter()
            .filter(|s| matches!(s.route, Route::Journal(_)));
        let payloads = journalled.map(|submission| submission.spec.payload.clone());
        payloads
            .filter(|payload| !self.ended.contains(payload))
            .collect()
    }

    pub(crate) fn describe(&self) -> String {
        let shard = self
            .processes
            .iter()
            .find_map(|process| process.shard.as_ref());
        shard
            .map(|shard| format!("{:?} {:?}", shard.view(), shard.list(None, None, 20)))
            .unwrap_or_default()
    }

    pub(crate) fn runs(&self) -> u32 {
        self.rules.total_runs()
    }

    fn advance(&mut self, by: Millis) {
        self.now = self.now.after(by);
        for worker in &mut self.workers {
            worker.settle(self.now, &mut self.rules);
        }
        self.executor.settle(self.now);
        for process in 0..PROCESSES {
            let now = self.now;
            self.with(process, |shard| shard.tick(now));
        }
    }

    /// Changes a process's shard unless it is paused, and takes the effects.
    fn with<R>(&mut self, process: usize, change: impl FnOnce(&mut Shard) -> R) -> Option<R> {
        let Process { shard, paused, .. } = &mut self.processes[process];
        let shard = shard.as_mut().filter(|_| !*paused)?;
        let result = change(shard);
        let (epoch, effects) = (shard.epoch(), shard.take_effects());
        for effect in effects {
            self.carry_out(process, epoch, effect);
        }
        self.write_journal(process);
        Some(result)
    }

    fn write_journal(&mut self, process: usize) {
        let now = self.now;
        let Some(shard) = self.processes[process].shard.as_mut() else {
            return;
        };
        let epoch = shard.epoch();
        if let Some(write) = shard.next_write(now) {
            self.send_call(process, epoch, Call::Store(write));
        }
    }

    fn send_call(&mut self, process: usize, epoch: Epoch, call: Call) {
        self.messages.push(Message {
            process,
            epoch,
            call,
            answer_lost: false,
        });
    }

    fn carry_out(&mut self, process: usize, epoch: Epoch, effect: Effect) {
        match effect {
            Effect::Start { worker, task, spec } => {
                let now = self.now;
                let shard = self.processes[process].shard.as_ref();
                let held = shard.filter(|shard| shard.may_use_worker(&worker, now));
                let lease = held.and_then(|shard| shard.lease_epoch(&worker));
                let index = worker_index(&worker);
                match lease {
                    Some(lease) => {
                        self.send_call(
                            process,
                            epoch,
                            Call::Start {
                                worker: index,
                                lease,
                                task,
                                spec,
                            },
                        );
                    }
                    None => {
                        let result = StartResult::NotSent;
                        self.answers.push((
                            process,
                            epoch,
                            Answer::Start {
                                worker: index,
                                task,
                                result,
                            },
                        ));
                    }
                }
            }
            Effect::Stop { worker, task } => {
                let worker = worker_index(&worker);
                self.send_call(process, epoch, Call::Stop { worker, task });
            }
            Effect::Acknowledge { worker, tasks } => {
                let worker = worker_index(&worker);
                self.send_call(process, epoch, Call::Acknowledge { worker, tasks });
            }
            Effect::Request {
                executor,
                work,
                spec,
                ..
            } => {
                let now = self.now;
                let shard = self.processes[process].shard.as_ref();
                let held = shard.is_some_and(|shard| shard.may_use_executor(&executor, now));
                match held {
                    true => self.send_call(process, epoch, Call::Request { work, spec }),
                    false => {
                        let result = RequestResult::NotSent;
                        self.answers
                            .push((process, epoch, Answer::Request { work, result }));
                    }
                }
            }
            Effect::ReleaseLease {
                worker,
                epoch: lease,
            } => {
                let worker = worker_index(&worker);
                self.send_call(process, epoch, Call::Release { worker, lease });
            }
            Effect::Poll { .. } => self.send_call(process, epoch, Call::Status),
            Effect::Reply { waiter, reply } => self.reply(process, waiter, reply),
            Effect::Commit => {}
            Effect::Borrow { .. } | Effect::StartFor { .. } => {
                unreachable!("the model has one shard")
            }
            Effect::Halt(refusal) => self.halt(process, &refusal),
        }
    }

    fn halt(&mut self, process: usize, refusal: &Refusal) {
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

    fn reply(&mut self, process: usize, waiter: WaiterId, reply: Reply) {
        let Some(payload) = self.processes[process].waiters.remove(&waiter) else {
            return;
        };
        match reply {
            Reply::Accepted { view, .. } => self.works.push(view.work.clone()),
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

    fn refused(&mut self, payload: &str, refusal: &Refusal) {
        // An unknown id refuses the command, not the work.
        if refusal.class() == RefusalClass::NotRun && refusal.code != ResultCode::UnknownWork {
            self.rules.refused(payload);
        }
    }

    fn submit_job(&mut self, n: u8, kind: WorkKind) {
        let payload = self.payload();
        let key = payload.parse().unwrap();
        let members = if kind == WorkKind::Gang {
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
            members,
            run_time: Millis::new(200 + 10 * u64::from(n)),
            repeatability,
            placement: PlacementPolicy::default(),
            service: None,
            payload,
        };
        let until_end = n.is_multiple_of(3);
        self.submit(n, Route::Journal(key), spec, until_end);
    }

    fn submit_request(&mut self, n: u8, with_ticket: bool) {
        let payload = self.payload();
        let process = usize::from(n) % PROCESSES;
        let route = match (with_ticket, n % 4) {
            (true, 0) => Route::Journal(payload.parse().unwrap()),
            (true, _) => match self.ticket(process) {
                Some(ticket) => Route::Ticket(ticket),
                None => return,
            },
            (false, _) => Route::Once,
        };
        let spec = WorkSpec {
            kind: WorkKind::Service,
            team: "t".parse().unwrap(),
            priority: Default::default(),
            deadline: (n % 8 == 5).then(|| self.now.after(Millis::new(1_000))),
            resources: Resources::ZERO,
            members: 1,
            run_time: Millis::new(50 * u64::from(n % 16)),
            repeatability: Repeatability::AtMostOnce,
            placement: PlacementPolicy::default(),
            service: Some("s".parse().unwrap()),
            payload,
        };
        self.submit(n, route, spec, true);
    }

    fn ticket(&mut self, process: usize) -> Option<Ticket> {
        let now = self.now;
        let issued = self.with(process, |shard| shard.issue_tickets(1, now))?;
        issued.ok().and_then(|mut tickets| tickets.pop())
    }

    fn submit(&mut self, n: u8, route: Route, spec: WorkSpec, until_end: bool) {
        let fingerprint = spec.fingerprint();
        let submission = Submission {
            route,
            spec,
            fingerprint,
            until_end,
        };
        self.submissions.push(submission.clone());
        self.send(usize::from(n) % PROCESSES, submission);
    }

    fn send(&mut self, process: usize, submission: Submission) {
        if matches!(submission.route, Route::Journal(_)) {
            // The caller asks for the work anew, so an earlier refusal of the same key no longer binds.
            self.rules.asked_again(&submission.spec.payload);
        }
        let (waiter, now) = (
            self.waiter(process, submission.spec.payload.clone()),
            self.now,
        );
        let sent = self.with(process, |shard| shard.submit(waiter, submission, now));
        if sent.is_none() {
            self.processes[process].waiters.remove(&waiter);
        }
    }

    fn repeat(&mut self, n: u8) {
        let count = self.submissions.len();
        if count == 0 {
            return;
        }
        let submission = self.submissions[usize::from(n) % count].clone();
        // Work without ticket or key must not be repeated by anyone.
        if submission.route != Route::Once {
            self.send(usize::from(n / 3) % PROCESSES, submission);
        }
    }

    fn cancel(&mut self, n: u8) {
        let count = self.works.len();
        if count == 0 {
            return;
        }
        let work = self.works[usize::from(n) % count].clone();
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
            let waiter = self.waiter(process, payload);
            self.with(process, |shard| shard.cancel(waiter, &work, "test", now));
        }
    }

    fn waiter(&mut self, process: usize, payload: String) -> WaiterId {
        self.next_payload += 1;
        let waiter = WaiterId::new(self.next_payload.into());
        self.processes[process].waiters.insert(waiter, payload);
        waiter
    }

    fn payload(&mut self) -> String {
        self.next_payload += 1;
        format!("p{}", self.next_payload)
    }

    fn claim(&mut self, process: usize) {
        if self.store.down
            || self.processes[process].paused
            || self.processes[process].shard.is_some()
        {
            return;
        }
        let id = format!("p{process}").parse().unwrap();
        let shard = "cluj:0".parse::<lagoon_core::id::ShardId>().unwrap();
        let claim = Claim::new(shard.clone(), id, String::new(), self.store.head());
        let Some(JournalAnswer::Written(version)) = self.store.perform(&claim.write()) else {
            return;
        };
        let limits = JournalLimits {
            tail: Bytes::new(2_000),
            segments: 3,
            ..JournalLimits::default()
        };
        let mut replay = Replay::new(shard.clone(), claim.head().clone(), limits.retention);
        for key in claim.read_keys() {
            let segment = self.store.segment(&key);
            replay.add(key, lagoon_core::journal::Segment::clone(&segment));
        }
        let config = ShardConfig {
            task_ttl: TASK_TTL,
            shard,
            process: format!("p{process}").parse().unwrap(),
            lease_margin: Millis::new(50),
            record_timeout: Millis::new(600),
            tickets: TicketLimits::default(),
            journal: limits,
        };
        let head = claim.head().clone();
        let state = replay.finish().unwrap();
        self.processes[process].shard = Some(Shard::new(
            config,
            head,
            version,
            state,
            self.policy.clone(),
        ));
        let (now, workers) = (self.now, worker_specs());
        self.with(process, |shard| {
            shard.set_workers(&workers, &BTreeSet::new(), now);
            shard.begin(now);
        });
    }

    fn resume(&mut self, process: usize) {
        self.processes[process].paused = false;
        self.take_answers();
        self.write_journal(process);
    }

    fn kill(&mut self, process: usize) {
        self.processes[process] = Process::default();
    }

    fn heartbeats(&mut self) {
        let now = self.now;
        for process in 0..PROCESSES {
            for worker in 0..WORKERS {
                let id = worker_id(worker);
                let sending = self.with(process, |shard| {
                    shard
                        .on_heartbeat_sending(&id, now)
                        .map(|sending| (shard.epoch(), sending))
                });
                if let Some(Some((epoch, (known, _)))) = sending {
                    let sent_at = now;
                    self.send_call(
                        process,
                        epoch,
                        Call::Lease {
                            worker,
                            sent_at,
                            known,
                        },
                    );
                }
            }
        }
    }

    fn fence(&mut self) {
        for process in 0..PROCESSES {
            let unfenced = self.with(process, |shard| {
                let fencing = shard.phase() == ShardPhase::Fencing;
                let workers = if fencing {
                    shard.unfenced()
                } else {
                    Vec::new()
                };
                (shard.epoch(), workers)
            });
            let (epoch, workers) = unfenced.unwrap_or_default();
            for (worker, _) in workers {
                let worker = worker_index(&worker);
                self.send_call(process, epoch, Call::Fence { worker });
            }
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..2_000 {
            if self.messages.is_empty() {
                break;
            }
            self.deliver(0);
        }
        self.take_answers();
    }

    fn deliver_one(&mut self, n: usize) {
        if !self.messages.is_empty() {
            self.deliver(n % self.messages.len());
        }
        self.take_answers();
    }

    /// Loses a call, or only its answer: the call may still take effect later.
    fn lose(&mut self, n: usize, whole: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = n % self.messages.len();
        if self.messages[index].answer_lost {
            return;
        }
        let message = self.messages[index].clone();
        match whole {
            true => drop(self.messages.remove(index)),
            false => self.messages[index].answer_lost = true,
        }
        self.answer_unknown(&message);
        self.take_answers();
    }

    fn answer_unknown(&mut self, message: &Message) {
        let answer = match message.call.clone() {
            Call::Lease { worker, .. } => Answer::LeaseLost { worker },
            Call::Start { worker, task, .. } | Call::Stop { worker, task } => Answer::Start {
                worker,
                task,
                result: StartResult::Unknown,
            },
            Call::Request { work, .. } => Answer::Request {
                work,
                result: RequestResult::Lost,
            },
            Call::Store(_) => Answer::Store(JournalAnswer::Unknown),
            Call::Release { .. } | Call::Acknowledge { .. } => return,
            Call::Fence { .. } | Call::Status => return,
        };
        self.answers.push((message.process, message.epoch, answer));
    }

    fn deliver(&mut self, index: usize) {
        let message = self.messages.remove(index);
        let answer = self.apply(&message);
        if message.answer_lost {
            return;
        }
        match answer {
            Some(answer) => self.answers.push((message.process, message.epoch, answer)),
            None => self.answer_unknown(&message),
        }
    }

    /// Lets a call take effect; `None` if it reaches nobody.
    fn apply(&mut self, message: &Message) -> Option<Answer> {
        let (now, epoch) = (self.now, message.epoch);
        match message.call.clone() {
            Call::Store(write) => self.store.perform(&write).map(Answer::Store),
            Call::Status => Some(Answer::Status(self.executor.in_use())),
            Call::Request { work, spec, .. } => {
                let ends = now.after(spec.run_time);
                let ran = self.executor.run(&spec.payload, ends, &mut self.rules);
                let result = match ran {
                    true => RequestResult::Answered(spec.payload.clone()),
                    false => RequestResult::Refused,
                };
                Some(Answer::Request { work, result })
            }
            Call::Lease {
                worker,
                sent_at,
                known,
                ..
            } => {
                let found = self.reachable(worker)?;
                let granted = found.lease(message.process, epoch, known, now);
                let granted = granted.map(|()| Granted {
                    epoch: found.epoch,
                    incarnation: found.incarnation,
                    tasks: found.inventory(),
                    in_use: found.in_use(),
                });
                Some(Answer::Lease {
                    worker,
                    sent_at,
                    granted,
                })
            }
            Call::Start {
                worker,
                lease,
                task,
                spec,
            } => {
                let found = self
                    .workers
                    .get_mut(worker)
                    .filter(|worker| worker.reachable())?;
                let result = found.start(lease, epoch, &task, &spec, now, &mut self.rules);
                Some(Answer::Start {
                    worker,
                    task,
                    result,
                })
            }
            Call::Stop { worker, task } => {
                let found = self
                    .workers
                    .get_mut(worker)
                    .filter(|worker| worker.reachable())?;
                if !found.fence(epoch) {
                    return None;
                }
                let result = StartResult::Known(found.stop(&task, &mut self.rules));
                Some(Answer::Start {
                    worker,
                    task,
                    result,
                })
            }
            Call::Acknowledge { worker, tasks } => {
                let found = self.reachable(worker)?;
                if found.fence(epoch) {
                    found.acknowledge(&tasks);
                }
                None
            }
            Call::Release { worker, lease } => {
                self.reachable(worker)?.release(message.process, lease);
                None
            }
            Call::Fence { worker } => {
                let found = self.reachable(worker)?;
                if !found.fence(epoch) {
                    return None;
                }
                let (incarnation, tasks) = (found.incarnation, found.inventory());
                Some(Answer::Fence {
                    worker,
                    incarnation,
                    tasks,
                })
            }
        }
    }

    fn reachable(&mut self, worker: usize) -> Option<&mut Worker> {
        self.workers
            .get_mut(worker)
            .filter(|worker| worker.reachable())
    }

    /// Hands answers to the processes that are not paused.
    fn take_answers(&mut self) {
        loop {
            let ready = self
                .answers
                .iter()
                .position(|(process, ..)| !self.processes[*process].paused);
            let Some(index) = ready else {
                break;
            };
            let (process, epoch, answer) = self.answers.remove(index);
            let now = self.now;
            self.with(process, |shard| {
                if shard.epoch() == epoch {
                    take_answer(shard, answer, now);
                }
            });
        }
    }
}

fn take_answer(shard: &mut Shard, answer: Answer, now: Timestamp) {
    match answer {
        Answer::Lease {
            worker,
            sent_at,
            granted: Ok(granted),
        } => {
            let report = HeartbeatReport {
                sent_at,
                epoch: granted.epoch,
                incarnation: granted.incarnation,
                rack: "r0".parse().unwrap(),
                capacity: Worker::capacity(),
                ttl: TTL,
                task_ttl: TASK_TTL,
                full: true,
                sequence: lagoon_core::id::Sequence::new(1),
                tasks: granted.tasks,
                forgotten: Vec::new(),
                observed: granted.in_use,
            };
            shard.on_heartbeat(&worker_id(worker), report, now);
        }
        Answer::Lease {
            worker,
            granted: Err(superseded),
            ..
        } => match superseded {
            true => shard.superseded(Refusal::new(ResultCode::NotOwner, "a later owner")),
            false => shard.on_lease_refused(&worker_id(worker), now),
        },
        Answer::LeaseLost { worker } => shard.on_heartbeat_lost(&worker_id(worker)),
        Answer::Start {
            worker,
            task,
            result,
        } => {
            shard.on_start(&worker_id(worker), &task, result, now);
        }
        Answer::Fence {
            worker,
            incarnation,
            tasks,
        } => {
            shard.on_fenced(&worker_id(worker), incarnation, tasks, now);
        }
        Answer::Request { work, result } => {
            shard.on_request(&EXECUTOR.parse().unwrap(), &work, result, now);
        }
        Answer::Status(in_use) => {
            shard.on_executor_status(&EXECUTOR.parse().unwrap(), in_use, now);
        }
        Answer::Store(answer) => shard.on_store(answer, now),
    }
}

fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().unwrap()
}

fn worker_index(worker: &WorkerId) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

fn worker_specs() -> Vec<WorkerSpec> {
    let executor = ExecutorSpec {
        executor: EXECUTOR.parse().unwrap(),
        service: "s".parse().unwrap(),
        slots: SLOTS,
        connections: 4,
    };
    let spec = |index| WorkerSpec {
        worker: worker_id(index),
        host: format!("h{index}").parse().unwrap(),
        address: format!("10.0.0.{index}:1"),
        rack: "r0".parse().unwrap(),
        capacity: Worker::capacity(),
        executors: if index == 0 {
            vec![executor.clone()]
        } else {
            Vec::new()
        },
    };
    (0..WORKERS).map(spec).collect()
}
