use std::mem;
use std::time::Duration;

use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::store::{DeleteOutcome, Precondition, PutOutcome};
use lagoon_platform::{CallEffect, PlatformError, StoreClient};
use tokio::sync::mpsc;

use crate::audit::audit_log::Call;
use crate::audit::{Append, AuditLog, Found, PREFIX, Trail};
use crate::settings::AuditSettings;
use crate::util::store_down;

/// Wait before records that the store did not take are sent again.
const RETRY: Duration = Duration::from_millis(500);
/// Largest number of calls that are handled together.
const BATCH: usize = 256;
/// Largest number of records that wait for the store; the oldest ones are dropped.
const MAX_WAITING: usize = 10_000;
/// Writes that may be lost to other admin processes before the records are refused.
const MAX_ATTEMPTS: usize = 16;

/// Owns the trail and writes it.
#[derive(Debug)]
pub(crate) struct Writer {
    store: StoreClient,
    trail: Trail,
    /// Revision of the store up to which the trail is known; `None` before it was first read.
    revision: Option<u64>,
    /// Records whose senders know that they wait for the store.
    waiting: Vec<Append>,
    rx: mpsc::Receiver<Call>,
}

impl Writer {
    /// Prepares the task and its handle. The task ends when all handles are dropped.
    pub(crate) fn new(store: StoreClient, settings: AuditSettings) -> (Self, AuditLog) {
        let (log, rx) = AuditLog::new();
        let writer = Self {
            store,
            trail: Trail::new(settings),
            revision: None,
            waiting: Vec::new(),
            rx,
        };
        (writer, log)
    }

    pub(crate) async fn run(mut self) {
        let mut calls = Vec::new();
        loop {
            tokio::select! {
                count = self.rx.recv_many(&mut calls, BATCH) => match count {
                    0 => break,
                    _ => self.handle(mem::take(&mut calls)).await,
                },
                () = tokio::time::sleep(RETRY), if !self.waiting.is_empty() => {
                    self.handle(Vec::new()).await;
                }
            }
        }
        self.handle(Vec::new()).await;
        if !self.waiting.is_empty() {
            let count = self.waiting.len();
            tracing::error!("admin: {count} audit records are lost, the store did not take them");
        }
    }

    async fn handle(&mut self, calls: Vec<Call>) {
        let mut appends = mem::take(&mut self.waiting);
        let mut reads = Vec::new();
        for call in calls {
            match call {
                Call::Append(append) => appends.push(*append),
                read => reads.push(read),
            }
        }
        let refreshed = self.refresh().await;
        let fresh = refreshed.is_ok();
        match refreshed {
            Ok(()) => self.commit(appends).await,
            Err(e) => self.put_off(appends, &e),
        }
        for read in reads {
            self.read(read, fresh);
        }
    }

    fn read(&self, call: Call, fresh: bool) {
        let mut waiting = self.waiting.iter().map(|append| &append.record);
        match call {
            Call::Append(append) => append.answer(Ok(false)),
            Call::Find(command, reply) => {
                let newest = waiting.rfind(|record| record.command == command);
                let record = newest.or_else(|| self.trail.find(&command)).cloned();
                let _ = reply.send(Found { record, fresh });
            }
            Call::All(reply) => {
                let mut all = self.trail.latest();
                all.extend(waiting.cloned());
                let _ = reply.send((all, fresh));
            }
        }
    }

    /// Reads what other admin processes wrote.
    async fn refresh(&mut self) -> Result<(), PlatformError> {
        let revision = match self.revision {
            Some(after) => {
                let changes = self.store.watch(PREFIX, after, Millis::ZERO).await?;
                for key in &changes.deleted {
                    self.trail.deleted(key);
                }
                changes
                    .entries
                    .iter()
                    .for_each(|entry| self.trail.put(entry));
                changes.revision
            }
            None => {
                let list = self.store.list(PREFIX).await?;
                self.trail.clear();
                list.entries.iter().for_each(|entry| self.trail.put(entry));
                list.revision
            }
        };
        self.revision = Some(revision);
        Ok(())
    }

    async fn commit(&mut self, mut appends: Vec<Append>) {
        for _ in 0..MAX_ATTEMPTS {
            appends = self.settle(appends);
            if appends.is_empty() {
                return self.delete_excess().await;
            }
            let known = match self.write(&appends).await {
                Ok(true) => Ok(()),
                Ok(false) => self.refresh().await,
                Err(e) => Err(e),
            };
            if let Err(e) = known {
                return self.put_off(appends, &e);
            }
        }
        let text = "other admin processes kept writing";
        let e = PlatformError::refused("PUT audit segment", 409, text);
        self.put_off(appends, &e);
    }

    /// Answers the records that the trail has, and those that come after another one than their sender knows.
    fn settle(&self, appends: Vec<Append>) -> Vec<Append> {
        let mut open = Vec::new();
        for append in appends {
            if self.trail.contains(&append.record) {
                append.answer(Ok(true));
                continue;
            }
            let latest = self.trail.find(&append.record.command);
            match &append.after {
                Some(after) if after.as_ref() != latest => {
                    let text = "another request with the same command id came first";
                    append.answer(Err(Refusal::new(ResultCode::VersionConflict, text)));
                }
                _ => open.push(append),
            }
        }
        open
    }

    /// Writes the first records. False after a conflict or a lost answer: the trail has to be read to see what it has.
    async fn write(&mut self, appends: &[Append]) -> Result<bool, PlatformError> {
        let records = appends.iter().map(|append| &append.record);
        let write = match self.trail.next_write(records) {
            Ok(write) => write,
            Err(e) => {
                let text = e.to_string();
                return Err(PlatformError::refused("audit segment", 500, &text));
            }
        };
        let key = Trail::key(write.number);
        let put = self.store.put(&key, &write.value, write.expect, None);
        match put.await {
            Ok(PutOutcome::Written(version)) => {
                tracing::debug!("admin: {} audit records written to {key}", write.taken);
                self.trail.written(write, version);
                Ok(true)
            }
            Ok(PutOutcome::Conflict { .. }) => Ok(false),
            Err(e) if e.effect() == CallEffect::Unknown => {
                tracing::warn!("admin: the audit trail is read back: {e}");
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    async fn delete_excess(&mut self) {
        while let Some((number, version)) = self.trail.excess() {
            let key = Trail::key(number);
            match self
                .store
                .delete(&key, Precondition::Version(version))
                .await
            {
                Ok(DeleteOutcome::Deleted(_) | DeleteOutcome::Absent) => self.trail.deleted(&key),
                // The next refresh shows the other change.
                Ok(DeleteOutcome::Conflict { .. }) => return,
                Err(e) => {
                    tracing::warn!("admin: an old audit segment is not deleted yet: {e}");
                    return;
                }
            }
        }
    }

    /// Refuses the records that had to be written first and keeps the others until the store answers.
    fn put_off(&mut self, appends: Vec<Append>, e: &PlatformError) {
        for mut append in appends {
            if append.after.is_some() {
                append.answer(Err(store_down(e)));
                continue;
            }
            if append.reply.is_some() {
                tracing::warn!("admin: an audit record waits for the store: {e}");
            }
            append.record.late = true;
            if let Some(reply) = append.reply.take() {
                let _ = reply.send(Ok(false));
            }
            self.waiting.push(append);
        }
        if self.waiting.len() > MAX_WAITING {
            let dropped = self.waiting.len() - MAX_WAITING;
            self.waiting.drain(..dropped);
            tracing::error!("admin: {dropped} audit records are lost, too many wait for the store");
        }
    }
}
