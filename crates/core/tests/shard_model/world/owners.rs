//! Processes that claim, keep and lose the shard.

use std::collections::BTreeSet;

use lagoon_core::journal::{Claim, JournalLimits, Replay};
use lagoon_core::shard::{Shard, ShardConfig, ShardPhase, StoreResponse};
use lagoon_core::ticket::TicketLimits;
use lagoon_core::unit::{Bytes, Millis};

use super::super::message::Call;
use super::super::process::Process;
use super::super::worker::TASK_TTL;

use super::ids::{worker_id, worker_index, worker_specs};
use super::{PROCESSES, WORKERS, World};

impl World {
    pub(super) fn claim(&mut self, process: usize) {
        if self.store.down
            || self.processes[process].paused
            || self.processes[process].shard.is_some()
        {
            return;
        }
        let id = format!("p{process}").parse().unwrap();
        let shard = "cluj:0".parse::<lagoon_core::id::ShardId>().unwrap();
        let claim = Claim::new(shard.clone(), id, String::new(), self.store.head());
        let Some(StoreResponse::Written(version)) = self.store.perform(&claim.write()) else {
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
        self.with_shard(process, |shard| {
            shard.set_workers(&workers, &BTreeSet::new(), now);
            shard.begin_fencing(now);
        });
    }

    pub(super) fn resume(&mut self, process: usize) {
        self.processes[process].paused = false;
        self.deliver_responses();
        self.write_journal(process);
    }

    pub(super) fn kill(&mut self, process: usize) {
        self.processes[process] = Process::default();
    }

    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        for process in 0..PROCESSES {
            for worker in 0..WORKERS {
                let id = worker_id(worker);
                let sending = self.with_shard(process, |shard| {
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

    pub(super) fn send_fence_calls(&mut self) {
        for process in 0..PROCESSES {
            let unfenced = self.with_shard(process, |shard| {
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
}
