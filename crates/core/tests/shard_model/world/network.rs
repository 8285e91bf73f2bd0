//! Calls on their way, and what they do when they arrive.

use lagoon_core::shard::{RequestResult, StartResult, StoreResponse};

use super::super::message::{Call, Message};
use super::super::worker::Worker;

use super::World;
use super::answer::{Answer, Granted, take_answer};

impl World {
    pub(super) fn deliver_all(&mut self) {
        for _ in 0..2_000 {
            if self.messages.is_empty() {
                break;
            }
            self.deliver(0);
        }
        self.take_answers();
    }

    pub(super) fn deliver_one(&mut self, n: usize) {
        if !self.messages.is_empty() {
            self.deliver(n % self.messages.len());
        }
        self.take_answers();
    }

    /// Loses a call, or only its answer: the call may still take effect later.
    pub(super) fn lose(&mut self, n: usize, whole: bool) {
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

    pub(super) fn answer_unknown(&mut self, message: &Message) {
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
            Call::Store(_) => Answer::Store(StoreResponse::Unknown),
            Call::Release { .. } | Call::Acknowledge { .. } => return,
            Call::Fence { .. } | Call::Status => return,
        };
        self.answers.push((message.process, message.epoch, answer));
    }

    pub(super) fn deliver(&mut self, index: usize) {
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
    pub(super) fn apply(&mut self, message: &Message) -> Option<Answer> {
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

    pub(super) fn reachable(&mut self, worker: usize) -> Option<&mut Worker> {
        self.workers
            .get_mut(worker)
            .filter(|worker| worker.reachable())
    }

    /// Hands answers to the processes that are not paused.
    pub(super) fn take_answers(&mut self) {
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
