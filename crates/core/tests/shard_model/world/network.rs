//! Delivery and loss of calls and responses.

use lagoon_core::shard::{RequestResult, StartResult, StoreResponse};

use super::super::message::{Call, Message};
use super::super::worker::Worker;

use super::World;
use super::response::{Granted, Response, deliver_response};

impl World {
    pub(super) fn deliver_all(&mut self) {
        for _ in 0..2_000 {
            if self.messages.is_empty() {
                break;
            }
            self.deliver(0);
        }
        self.deliver_responses();
    }

    pub(super) fn deliver_one(&mut self, n: usize) {
        if !self.messages.is_empty() {
            self.deliver(n % self.messages.len());
        }
        self.deliver_responses();
    }

    /// Loses a call, or only its response; in that case the call may still take effect later.
    pub(super) fn lose(&mut self, n: usize, drop_call: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = n % self.messages.len();
        if self.messages[index].response_lost {
            return;
        }
        let message = self.messages[index].clone();
        match drop_call {
            true => drop(self.messages.remove(index)),
            false => self.messages[index].response_lost = true,
        }
        self.respond_unknown(&message);
        self.deliver_responses();
    }

    pub(super) fn respond_unknown(&mut self, message: &Message) {
        let response = match message.call.clone() {
            Call::Lease { worker, .. } => Response::LeaseLost { worker },
            Call::Start { worker, task, .. } | Call::Stop { worker, task } => Response::Start {
                worker,
                task,
                result: StartResult::Unknown,
            },
            Call::Request { work, .. } => Response::Request {
                work,
                result: RequestResult::Lost,
            },
            Call::Store(_) => Response::Store(StoreResponse::Unknown),
            Call::Release { .. } | Call::Acknowledge { .. } => return,
            Call::Fence { .. } | Call::Status => return,
        };
        self.responses
            .push((message.process, message.epoch, response));
    }

    pub(super) fn deliver(&mut self, index: usize) {
        let message = self.messages.remove(index);
        let response = self.apply(&message);
        if message.response_lost {
            return;
        }
        match response {
            Some(response) => self
                .responses
                .push((message.process, message.epoch, response)),
            None => self.respond_unknown(&message),
        }
    }

    /// Lets a call take effect. Returns `None` if nobody responds.
    pub(super) fn apply(&mut self, message: &Message) -> Option<Response> {
        let (now, epoch) = (self.now, message.epoch);
        match message.call.clone() {
            Call::Store(write) => self.store.perform(&write).map(Response::Store),
            Call::Status => Some(Response::Status(self.executor.in_use())),
            Call::Request { work, spec, .. } => {
                let ends_at = now.after(spec.run_time);
                let ran = self
                    .executor
                    .run(&spec.payload, ends_at, &mut self.invariants);
                let result = match ran {
                    true => RequestResult::Answered(spec.payload.clone()),
                    false => RequestResult::Refused,
                };
                Some(Response::Request { work, result })
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
                Some(Response::Lease {
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
                let result = found.start(lease, epoch, &task, &spec, now, &mut self.invariants);
                Some(Response::Start {
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
                let result = StartResult::Known(found.stop(&task, &mut self.invariants));
                Some(Response::Start {
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
                Some(Response::Fence {
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

    /// Delivers responses to the processes that are not paused.
    pub(super) fn deliver_responses(&mut self) {
        loop {
            let ready = self
                .responses
                .iter()
                .position(|(process, ..)| !self.processes[*process].paused);
            let Some(index) = ready else {
                break;
            };
            let (process, epoch, response) = self.responses.remove(index);
            let now = self.now;
            self.with_shard(process, |shard| {
                if shard.epoch() == epoch {
                    deliver_response(shard, response, now);
                }
            });
        }
    }
}
