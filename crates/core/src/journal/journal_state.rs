use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::id::{HostId, RequestKey, TeamId, WorkId, WorkerId};
use crate::journal::{EndedWork, JournalEntry, LiveWork, Retention, UsedWorker};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkSpec};

/// State of a shard, built by applying the entries of its journal in order.
///
/// Idempotency keys are scoped to a team, so two teams may choose the same key.
#[derive(Debug, Clone)]
pub struct JournalState {
    retention: Retention,
    live: BTreeMap<WorkId, LiveWork>,
    ended: HashMap<WorkId, EndedWork>,
    ended_order: VecDeque<WorkId>,
    keys: HashMap<(TeamId, RequestKey), WorkId>,
    workers: BTreeMap<WorkerId, UsedWorker>,
    dead_hosts: BTreeSet<HostId>,
    commands: VecDeque<JournalEntry>,
}

impl JournalState {
    /// Creates an empty state.
    pub fn new(retention: Retention) -> Self {
        Self {
            retention,
            live: BTreeMap::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            keys: HashMap::new(),
            workers: BTreeMap::new(),
            dead_hosts: BTreeSet::new(),
            commands: VecDeque::new(),
        }
    }

    /// Returns the work that has not ended.
    pub fn live(&self) -> &BTreeMap<WorkId, LiveWork> {
        &self.live
    }

    /// Returns the record of ended work, or `None` if it has not ended or is no longer retained.
    pub fn ended(&self, work: &WorkId) -> Option<&EndedWork> {
        self.ended.get(work)
    }

    /// Returns the number of retained records of ended work.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Returns the retained ended work, oldest first.
    pub fn ended_in_order(&self) -> impl Iterator<Item = (&WorkId, &EndedWork)> {
        let order = self.ended_order.iter();
        order.filter_map(|work| self.ended.get_key_value(work))
    }

    /// Returns the work that a team submitted with an idempotency key.
    pub fn find(&self, team: &TeamId, key: &RequestKey) -> Option<&WorkId> {
        self.keys.get(&(team.clone(), key.clone()))
    }

    /// Returns the fingerprint of the request with which work was accepted.
    pub fn fingerprint(&self, work: &WorkId) -> Option<u64> {
        let live = self.live.get(work).map(|live| live.fingerprint);
        live.or_else(|| self.ended.get(work).map(|ended| ended.fingerprint))
    }

    /// Returns the workers that may run tasks of the shard.
    pub fn workers(&self) -> &BTreeMap<WorkerId, UsedWorker> {
        &self.workers
    }

    /// Returns the hosts that operators confirmed dead.
    pub fn dead_hosts(&self) -> &BTreeSet<HostId> {
        &self.dead_hosts
    }

    /// Returns the audit trail of operator commands, oldest first.
    pub fn commands(&self) -> &VecDeque<JournalEntry> {
        &self.commands
    }

    /// Applies an entry. An entry that repeats or contradicts an earlier one has no effect, so the first outcome is
    /// final.
    pub fn apply(&mut self, entry: &JournalEntry) {
        match entry {
            JournalEntry::Accepted {
                work,
                key,
                fingerprint,
                spec,
                accepted_at,
            } => {
                if self.live.contains_key(work) || self.ended.contains_key(work) {
                    return;
                }
                self.index_key(&spec.team, key.as_ref(), work);
                let live = LiveWork {
                    key: key.clone(),
                    fingerprint: *fingerprint,
                    spec: spec.clone(),
                    accepted_at: *accepted_at,
                    held: false,
                    may_have_run: false,
                    delegated_to: None,
                };
                self.live.insert(work.clone(), live);
            }
            JournalEntry::Ended { work, outcome, at } => self.end_work(work, outcome, *at),
            JournalEntry::Kept { work, ended } => {
                if !self.live.contains_key(work) && !self.ended.contains_key(work) {
                    self.index_key(ended.team(), ended.key.as_ref(), work);
                    self.insert_ended(work.clone(), ended.clone());
                }
            }
            JournalEntry::Held { work } => self.update(work, |live| live.held = true),
            JournalEntry::Released { work } => self.update(work, |live| live.held = false),
            JournalEntry::Restarted { work } => self.update(work, |live| live.may_have_run = true),
            JournalEntry::Delegated { work, domain } => {
                self.update(work, |live| live.delegated_to = Some(domain.clone()));
            }
            JournalEntry::TakenBack { work } => self.update(work, |live| live.delegated_to = None),
            JournalEntry::WorkerUsed {
                worker,
                host,
                address,
                incarnation,
            } => {
                let used = UsedWorker {
                    host: host.clone(),
                    address: address.clone(),
                    incarnation: *incarnation,
                };
                self.workers.insert(worker.clone(), used);
            }
            JournalEntry::WorkerReleased { worker } => {
                self.workers.remove(worker);
            }
            JournalEntry::Withdrawn => {}
            JournalEntry::HostDead { host } => {
                self.dead_hosts.insert(host.clone());
            }
            JournalEntry::Command { .. } => {
                self.commands.push_back(entry.clone());
                if self.commands.len() > self.retention.commands {
                    self.commands.pop_front();
                }
            }
        }
    }

    /// Drops ended work whose retention period has passed.
    pub fn prune(&mut self, now: Timestamp) {
        while let Some(work) = self.ended_order.front() {
            let within_retention =
                |ended: &EndedWork| ended.at.after(self.retention.ended_for) > now;
            if self.ended.get(work).is_some_and(within_retention) {
                break;
            }
            self.drop_oldest_ended();
        }
    }

    /// Returns entries that rebuild this state, for a snapshot.
    pub fn to_entries(&self) -> impl Iterator<Item = JournalEntry> {
        let kept = self.ended_in_order().map(|(work, ended)| {
            let (work, ended) = (work.clone(), ended.clone());
            JournalEntry::Kept { work, ended }
        });
        let live = self
            .live
            .iter()
            .flat_map(|(work, live)| live_entries(work, live));
        let workers = self
            .workers
            .iter()
            .map(|(worker, used)| JournalEntry::WorkerUsed {
                worker: worker.clone(),
                host: used.host.clone(),
                address: used.address.clone(),
                incarnation: used.incarnation,
            });
        let dead = self.dead_hosts.iter();
        let dead = dead.map(|host| JournalEntry::HostDead { host: host.clone() });
        kept.chain(live)
            .chain(workers)
            .chain(dead)
            .chain(self.commands.iter().cloned())
    }

    fn update(&mut self, work: &WorkId, change: impl FnOnce(&mut LiveWork)) {
        if let Some(live) = self.live.get_mut(work) {
            change(live);
        }
    }

    fn end_work(&mut self, work: &WorkId, outcome: &Outcome, at: Timestamp) {
        if let Some(live) = self.live.remove(work) {
            let ended = EndedWork {
                spec: without_payload(&live.spec),
                key: live.key,
                fingerprint: live.fingerprint,
                accepted_at: live.accepted_at,
                outcome: outcome.clone(),
                at,
            };
            self.insert_ended(work.clone(), ended);
        }
    }

    fn insert_ended(&mut self, work: WorkId, ended: EndedWork) {
        self.ended_order.push_back(work.clone());
        self.ended.insert(work, ended);
        if self.ended.len() > self.retention.ended {
            self.drop_oldest_ended();
        }
    }

    fn drop_oldest_ended(&mut self) {
        let Some(work) = self.ended_order.pop_front() else {
            return;
        };
        let Some(ended) = self.ended.remove(&work) else {
            return;
        };
        if let Some(key) = ended.key {
            // The key may have been reused for later work.
            let team_key = (ended.spec.team.clone(), key);
            if self.keys.get(&team_key) == Some(&work) {
                self.keys.remove(&team_key);
            }
        }
    }

    fn index_key(&mut self, team: &TeamId, key: Option<&RequestKey>, work: &WorkId) {
        if let Some(key) = key {
            self.keys.insert((team.clone(), key.clone()), work.clone());
        }
    }
}

/// Returns a copy of `spec` without the payload, which repeated requests and queries for ended work don't need.
fn without_payload(spec: &Arc<WorkSpec>) -> Arc<WorkSpec> {
    if spec.payload.is_empty() {
        return spec.clone();
    }
    let mut spec = WorkSpec::clone(spec);
    spec.payload = String::new();
    Arc::new(spec)
}

fn live_entries(work: &WorkId, live: &LiveWork) -> impl Iterator<Item = JournalEntry> + use<> {
    let accepted = JournalEntry::Accepted {
        work: work.clone(),
        key: live.key.clone(),
        fingerprint: live.fingerprint,
        spec: live.spec.clone(),
        accepted_at: live.accepted_at,
    };
    let held = live.held.then(|| JournalEntry::Held { work: work.clone() });
    let restarted = live
        .may_have_run
        .then(|| JournalEntry::Restarted { work: work.clone() });
    let delegated = live.delegated_to.clone();
    let delegated = delegated.map(|domain| JournalEntry::Delegated {
        work: work.clone(),
        domain,
    });
    [Some(accepted), held, restarted, delegated]
        .into_iter()
        .flatten()
}
