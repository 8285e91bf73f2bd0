use std::collections::{BTreeMap, BTreeSet};

use lagoon_core::id::ShardId;
use lagoon_core::journal::{
    Claim, ClaimResult, Head, Journal, JournalEntry, JournalEvent, JournalLimits, JournalState,
    Replay, StoreRequest, StoreVersion,
};
use lagoon_core::unit::{Bytes, Millis, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::process::{Process, Role};
use super::store::{Store, VALUE_LIMIT};

pub(crate) struct World {
    rng: SmallRng,
    store: Store,
    // Requests whose answer was lost and that may still take effect.
    delayed: Vec<StoreRequest>,
    processes: Vec<Process>,
    next_command: u64,
    committed: BTreeSet<u64>,
    not_written: BTreeSet<u64>,
    takeovers: usize,
    now: Timestamp,
}

fn shard() -> ShardId {
    "cluj:3".parse().unwrap()
}

fn limits() -> JournalLimits {
    JournalLimits {
        tail: Bytes::new(1_024),
        value: Bytes::new(VALUE_LIMIT),
        segments: 3,
        refusal_backoff: Millis::new(5),
        ..JournalLimits::default()
    }
}

fn command(number: u64, bytes: usize) -> JournalEntry {
    JournalEntry::Command {
        command: number.to_string().parse().unwrap(),
        caller: "op".parse().unwrap(),
        text: "x".repeat(bytes),
        result: String::new(),
        at: Timestamp::default(),
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let process = |n| Process {
            id: format!("s{n}").parse().unwrap(),
            role: Role::Idle,
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
            delayed: Vec::new(),
            processes: (0..3).map(process).collect(),
            next_command: 0,
            committed: BTreeSet::new(),
            not_written: BTreeSet::new(),
            takeovers: 0,
            now: Timestamp::default(),
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now.after(Millis::new(1));
        if !self.delayed.is_empty() && self.rng.random_bool(0.05) {
            let index = self.rng.random_range(0..self.delayed.len());
            let request = self.delayed.swap_remove(index);
            // The sender no longer waits for the answer.
            let _ = self.store.apply(&request);
        }
        let index = self.rng.random_range(0..self.processes.len());
        let role = std::mem::replace(&mut self.processes[index].role, Role::Idle);
        let role = match role {
            Role::Idle if self.rng.random_bool(0.01) => {
                let id = self.processes[index].id.clone();
                let current = self.store.current();
                let claim = Claim::new(shard(), id, "127.0.0.1:7001".to_owned(), current);
                Role::Claiming { claim, sent: false }
            }
            Role::Idle => Role::Idle,
            Role::Claiming { claim, sent } => self.step_claim(claim, sent),
            Role::Owner {
                journal,
                outstanding,
                appended,
                reported,
            } => {
                // A crash loses everything that is not in the store.
                if self.rng.random_bool(0.002) {
                    Role::Idle
                } else {
                    self.step_owner(journal, outstanding, appended, reported)
                }
            }
        };
        self.processes[index].role = role;
    }

    fn step_claim(&mut self, claim: Claim, sent: bool) -> Role {
        if !sent {
            return match self.send(&claim.write()) {
                Answer::Written(version) => self.take_ownership(&claim, version),
                Answer::Refused => Role::Claiming { claim, sent: false },
                Answer::Conflict | Answer::Lost => Role::Claiming { claim, sent: true },
            };
        }
        let current = self.store.current();
        match claim.evaluate(current.as_ref().map(|(head, version)| (head, *version))) {
            ClaimResult::Won(version) => self.take_ownership(&claim, version),
            ClaimResult::Pending => Role::Claiming { claim, sent: false },
            ClaimResult::Superseded { .. } => Role::Idle,
            ClaimResult::Missing => unreachable!("no process deletes the head"),
        }
    }

    fn take_ownership(&mut self, claim: &Claim, version: StoreVersion) -> Role {
        // Another process may have claimed the shard meanwhile and deleted keys that this claim refers to.
        if claim
            .read_keys()
            .iter()
            .any(|key| !self.store.values.contains_key(key))
        {
            assert_ne!(self.store.head.as_ref(), Some(claim.head()));
            return Role::Idle;
        }
        self.takeovers += 1;
        let state = self.replay(claim.head());
        let journal = Journal::new(shard(), claim.head().clone(), version, state, limits());
        Role::Owner {
            journal: Box::new(journal),
            outstanding: None,
            appended: Vec::new(),
            reported: 0,
        }
    }

    fn replay(&self, head: &Head) -> JournalState {
        let mut replay = Replay::new(shard(), head.clone(), limits().retention);
        for key in replay.missing() {
            let value = self.store.values.get(&key);
            let value = value.unwrap_or_else(|| panic!("{key} is missing")).clone();
            replay.add(key, value);
        }
        replay.finish().unwrap()
    }

    fn step_owner(
        &mut self,
        mut journal: Box<Journal>,
        mut outstanding: Option<StoreRequest>,
        mut appended: Vec<u64>,
        mut reported: usize,
    ) -> Role {
        if self.rng.random_bool(0.6) {
            let bytes = self.rng.random_range(0..400);
            let position = journal.append(command(self.next_command, bytes)).unwrap();
            appended.push(self.next_command);
            assert_eq!(position.get(), appended.len() as u64);
            self.next_command += 1;
        }
        let events = match outstanding.take() {
            None => {
                outstanding = journal.next_request(self.now);
                Vec::new()
            }
            Some(StoreRequest::ReadHead { .. }) => match self.rng.random_bool(0.8) {
                true => journal.on_head(self.store.current()),
                false => journal.on_unknown(),
            },
            Some(request) => match self.send(&request) {
                Answer::Written(version) => journal.on_written(version),
                Answer::Conflict => journal.on_conflict(StoreVersion::new(0)),
                Answer::Lost => journal.on_unknown(),
                Answer::Refused => journal.on_refused(),
            },
        };
        for event in events {
            match event {
                JournalEvent::Committed { up_to } => {
                    let up_to = up_to.get() as usize;
                    self.committed.extend(&appended[reported..up_to]);
                    reported = up_to;
                }
                JournalEvent::OwnershipConfirmed { .. } => {}
                JournalEvent::SnapshotNeeded => journal.begin_snapshot(),
                JournalEvent::OwnershipLost { epoch, .. } => {
                    assert!(epoch > journal.head().epoch);
                    let possibly_written = journal.possibly_written_up_to().get() as usize;
                    self.not_written.extend(&appended[possibly_written..]);
                    return Role::Idle;
                }
                JournalEvent::HeadInvalid(refusal) => panic!("{refusal}"),
            }
        }
        Role::Owner {
            journal,
            outstanding,
            appended,
            reported,
        }
    }

    fn send(&mut self, request: &StoreRequest) -> Answer {
        match self.rng.random_range(0..100) {
            0..80 => self
                .store
                .apply(request)
                .map_or(Answer::Conflict, Answer::Written),
            80..87 => {
                let _ = self.store.apply(request);
                Answer::Lost
            }
            87..90 => Answer::Lost,
            90..95 => {
                self.delayed.push(request.clone());
                Answer::Lost
            }
            _ => Answer::Refused,
        }
    }

    /// Compares the reported positions with a replay of the final head.
    pub(crate) fn check(&self) {
        let mut counts = BTreeMap::new();
        let state = self.replay(self.store.head.as_ref().unwrap());
        for entry in state.commands() {
            let JournalEntry::Command { command, .. } = entry else {
                panic!("{entry:?} in the audit trail");
            };
            let number: u64 = command.as_str().parse().unwrap();
            *counts.entry(number).or_insert(0) += 1;
        }
        assert!(
            counts.values().all(|count| *count == 1),
            "an entry is duplicated"
        );
        let missing: Vec<_> = self
            .committed
            .iter()
            .filter(|n| !counts.contains_key(n))
            .collect();
        assert!(
            missing.is_empty(),
            "reported as durable but missing: {missing:?}"
        );
        let unexpected: Vec<_> = self
            .not_written
            .iter()
            .filter(|n| counts.contains_key(n))
            .collect();
        assert!(
            unexpected.is_empty(),
            "reported as not written but present: {unexpected:?}"
        );
        // The simulation must have exercised commits, takeovers, snapshots and deletions.
        assert!(
            self.committed.len() > 300,
            "{} entries",
            self.committed.len()
        );
        assert!(self.takeovers > 5, "{} takeovers", self.takeovers);
        assert!(
            self.store.snapshots > 5,
            "{} snapshots",
            self.store.snapshots
        );
        assert!(
            self.store.deleted > 5,
            "{} keys deleted",
            self.store.deleted
        );
    }
}

enum Answer {
    Written(StoreVersion),
    Conflict,
    Lost,
    Refused,
}
