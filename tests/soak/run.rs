use std::time::Duration;

use lagoon_standin::site::{SiteHandle, StoreFault};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller::{Caller, Job};
use crate::event::Event;
use crate::guarantees::{check_always, check_finished};
use crate::harness::{BoxError, Node};
use crate::plan::{FAULT_TIME, plan};
use crate::proxy::Proxy;

const NODES: usize = 3;
const EXECUTORS: usize = 3;
/// Interval between submissions.
const SUBMIT_EVERY: Duration = Duration::from_millis(90);
/// Every how many jobs one is cancelled.
const CANCEL_ONE_IN: u64 = 9;
const QUEUES: [&str; 2] = ["plain", "advised"];

/// Simulated site, nodes, and a proxy between each node and the store.
struct Soak {
    site: SiteHandle,
    proxies: Vec<Proxy>,
    nodes: Vec<Node>,
    version: u64,
    /// Settings and logs of the nodes.
    dir: tempfile::TempDir,
}

/// Runs the events of a seed and checks the guarantees during and after them. Keeps the logs on failure.
pub(crate) async fn soak(seed: u64) -> Result<(), BoxError> {
    let mut soak = Soak::start().await?;
    let outcome = run_events(&mut soak, seed).await;
    if outcome.is_err() {
        println!(
            "seed {seed}: logs are kept in {}",
            soak.dir.path().display()
        );
        soak.dir.disable_cleanup(true);
    }
    outcome
}

async fn run_events(soak: &mut Soak, seed: u64) -> Result<(), BoxError> {
    let caller = Caller::new(soak.nodes.iter().map(|node| node.callers).collect());
    let submitting = tokio::spawn(submit_all(caller.clone(), seed));
    let started = Instant::now();
    for (at, event) in plan(seed, NODES) {
        tokio::time::sleep_until(started + at).await;
        soak.apply(event)
            .await
            .map_err(|e| format!("seed {seed}, {event:?}: {e}"))?;
        check_always(&soak.site).map_err(|e| format!("seed {seed}, after {event:?}: {e}"))?;
    }
    let jobs = submitting.await?;
    let finished = check_finished(&soak.site, &caller, NODES, &jobs).await;
    finished.map_err(|e| format!("seed {seed}: {e}"))?;
    let accepted = jobs.iter().filter(|job| job.accepted).count();
    if accepted * 2 < jobs.len() {
        return Err(format!(
            "seed {seed}: {accepted} of {} jobs were accepted, expected at least half",
            jobs.len()
        )
        .into());
    }
    soak.nodes.iter_mut().try_for_each(Node::check_running)
}

async fn submit_all(caller: Caller, seed: u64) -> Vec<Job> {
    let mut calls = JoinSet::new();
    let until = Instant::now() + FAULT_TIME;
    let mut number = seed << 20;
    while Instant::now() < until {
        number += 1;
        calls.spawn(
            caller
                .clone()
                .submit(number, number.is_multiple_of(CANCEL_ONE_IN)),
        );
        tokio::time::sleep(SUBMIT_EVERY).await;
    }
    calls.join_all().await
}

impl Soak {
    async fn start() -> Result<Self, BoxError> {
        let dir = tempfile::tempdir()?;
        let mut site = SiteHandle::bind().await?;
        site.configure(1, &QUEUES);
        for number in 0..EXECUTORS {
            site.start_executor(&format!("e{number}"), 8_000).await?;
        }
        let mut proxies = Vec::new();
        let mut nodes = Vec::new();
        for number in 0..NODES {
            let proxy = Proxy::bind(site.store()).await?;
            nodes.push(Node::spawn(
                number,
                dir.path(),
                proxy.address,
                site.adviser(),
            )?);
            proxies.push(proxy);
        }
        Ok(Self {
            site,
            proxies,
            nodes,
            version: 1,
            dir,
        })
    }

    async fn apply(&mut self, event: Event) -> Result<(), BoxError> {
        match event {
            Event::Link(node, mode) => self.proxies[node].set(mode),
            Event::Pause(node) => self.nodes[node].signal(Signal::STOP)?,
            Event::Resume(node) => self.nodes[node].signal(Signal::CONT)?,
            Event::Kill(node) => self.nodes[node].start()?,
            Event::KillAll => self.nodes.iter_mut().try_for_each(Node::start)?,
            Event::Terminate(node) => self.nodes[node].restart().await?,
            Event::Reload(node) => self.nodes[node].reload().await?,
            Event::StoreBusy => self.site.set_store_fault(StoreFault::Unavailable),
            Event::StoreDropsResponses => self.site.set_store_fault(StoreFault::DropResponses),
            Event::StoreRecovered => self.site.set_store_fault(StoreFault::None),
            Event::CompactHistory => self.site.compact_history(),
            Event::Configure => {
                self.version += 1;
                self.site.configure(self.version, &QUEUES);
            }
        }
        self.nodes.iter_mut().try_for_each(Node::check_running)
    }
}
