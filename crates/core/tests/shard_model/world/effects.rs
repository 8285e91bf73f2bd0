//! Execution of the effects that a shard produces.

use lagoon_core::id::Epoch;
use lagoon_core::shard::{Effect, RequestResult, StartResult};

use super::super::message::Call;

use super::World;
use super::ids::worker_index;
use super::response::Response;

impl World {
    pub(super) fn perform_effect(&mut self, process: usize, epoch: Epoch, effect: Effect) {
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
                        self.responses.push((
                            process,
                            epoch,
                            Response::Start {
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
                        self.responses
                            .push((process, epoch, Response::Request { work, result }));
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
            Effect::Borrow { .. } | Effect::StartForBorrower { .. } => {
                unreachable!("the model has one shard")
            }
            Effect::Halt(refusal) => self.halt(process, &refusal),
        }
    }
}
