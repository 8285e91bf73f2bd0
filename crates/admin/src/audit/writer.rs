use std::mem;
use std::time::Duration;

use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::store::{DeleteOutcome, Precondition, PutOutcome};
use lagoon_platform::{CallEffect, PlatformError, StoreClient};
use tokio::sync::mpsc;

use crate::audit::audit_log::AuditRequest;
use crate::audit::{AppendRequest, AuditLog, PREFIX, RecordLookup, Trail};
use crate::settings::AuditSettings;
use crate::util::store_unavailable;

/// Delay before pending records are sent to the store again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of requests handled together.
const MAX_BATCH: usize = 256;
/// Maximum number of records waiting for the store. Beyond it, the oldest are dropped.
const MAX_PENDING: usize = 10_000;
/// Maximum number of write attempts that may conflict with other admin processes before the records are deferred or
/// refused.
const MAX_ATTEMPTS: usize = 16;

/// Task that owns the audit trail and writes it to the store.
#[derive(Debug)]
pub(crate) struct AuditWriter {
    store: StoreClient,
    trail: Trail,
    /// Store revision that the trail reflects; `None` before the first read.
    revision: Option<u64>,
    /// Records that wait for the store. Their senders have been told so.
    pending: Vec<AppendRequest>,
    rx: mpsc::Receiver<AuditRequest>,
}

impl AuditWriter {
    /// Creates a writer and its handle. The task ends when all clones of the handle are dropped.
    pub(crate) fn new(store: StoreClient, settings: AuditSettings) -> (Self, AuditLog) {
        let (log, rx) = AuditLog::new();
        let writer = Self {
            store,
            trail: Trail::new(settings),
            revision: None,
            pending: Vec::new(),
            rx,
        };
        (writer, log)
    }

    pub(crate) async fn run(mut self) {
        let mut requests = Vec::new();
        loop {
            tokio::select! {
                count = self.rx.recv_many(&mut requests, MAX_BATCH) => match count {
                    0 => break,
                    _ => self.handle(mem::take(&mut requests)).await,
                },
                () = tokio::time::sleep(RETRY_DELAY), if !self.pending.is_empty() => {
                    self.handle(Vec::new()).await;
                }
            }
        }
        self.handle(Vec::new()).await;
        if !self.pending.is_empty() {
            let count = self.pending.len();
            tracing::error!(
                "admin: {count} audit records lost: the store was unavailable at shutdown"
            );
        }
    }

    async fn handle(&mut self, requests: Vec<AuditRequest>) {
        let mut appends = mem::take(&mut self.pending);
        let mut reads = Vec::new();
        for req in requests {
            match req {
                AuditRequest::Append(append) => appends.push(*append),
                read => reads.push(read),
            }
        }
        let refreshed = self.refresh().await;
        let fresh = refreshed.is_ok();
        match refreshed {
            Ok(()) => self.commit(appends).await,
            Err(e) => self.defer(appends, &e),
        }
        for read in reads {
            self.read(read, fresh);
        }
    }

    fn read(&self, req: AuditRequest, fresh: bool) {
        let mut pending = self.pending.iter().map(|append| &append.record);
        match req {
            AuditRequest::Append(append) => append.respond(Ok(false)),
            AuditRequest::Find(command, reply) => {
                let newest = pending.rfind(|record| record.command == command);
                let record = newest.or_else(|| self.trail.find(&command)).cloned();
                let _ = reply.send(RecordLookup { record, fresh });
            }
            AuditRequest::LatestRecords(reply) => {
                let mut all = self.trail.latest_records();
                all.extend(pending.cloned());
                let _ = reply.send((all, fresh));
            }
        }
    }

    /// Reads the changes that other admin processes made.
    async fn refresh(&mut self) -> Result<(), PlatformError> {
        let revision = match self.revision {
            Some(after) => {
                let changes = self.store.watch(PREFIX, after, Millis::ZERO).await?;
                for key in &changes.deleted {
                    self.trail.apply_deletion(key);
                }
                changes
                    .entries
                    .iter()
                    .for_each(|entry| self.trail.apply_entry(entry));
                changes.revision
            }
            None => {
                let list = self.store.list(PREFIX).await?;
                self.trail.clear();
                list.entries
                    .iter()
                    .for_each(|entry| self.trail.apply_entry(entry));
                list.revision
            }
        };
        self.revision = Some(revision);
        Ok(())
    }

    async fn commit(&mut self, mut appends: Vec<AppendRequest>) {
        for _ in 0..MAX_ATTEMPTS {
            appends = self.answer_settled(appends);
            if appends.is_empty() {
                return self.delete_excess_segments().await;
            }
            let outcome = match self.write(&appends).await {
                Ok(true) => Ok(()),
                Ok(false) => self.refresh().await,
                Err(e) => Err(e),
            };
            if let Err(e) = outcome {
                return self.defer(appends, &e);
            }
        }
        let text = "every attempt conflicted with a write of another admin process";
        let e = PlatformError::refused("PUT audit segment", 409, text);
        self.defer(appends, &e);
    }

    /// Answers the requests whose record is already in the trail and those whose expected latest record is outdated.
    /// Returns the others.
    fn answer_settled(&self, appends: Vec<AppendRequest>) -> Vec<AppendRequest> {
        let mut unsettled = Vec::new();
        for append in appends {
            if self.trail.contains(&append.record) {
                append.respond(Ok(true));
                continue;
            }
            let latest = self.trail.find(&append.record.command);
            match &append.after {
                Some(after) if after.as_ref() != latest => {
                    let text = "a concurrent request used the same command id";
                    append.respond(Err(Refusal::new(ResultCode::VersionConflict, text)));
                }
                _ => unsettled.push(append),
            }
        }
        unsettled
    }

    /// Writes as many records as fit into one segment. Returns false after a conflict or an unknown outcome; the trail
    /// must then be refreshed to see which records it has.
    async fn write(&mut self, appends: &[AppendRequest]) -> Result<bool, PlatformError> {
        let records = appends.iter().map(|append| &append.record);
        let write = match self.trail.next_write(records) {
            Ok(write) => write,
            Err(e) => {
                let text = e.to_string();
                return Err(PlatformError::refused("audit segment", 500, &text));
            }
        };
        let key = Trail::key(write.number);
        let put = self.store.put(&key, &write.value, write.precondition, None);
        match put.await {
            Ok(PutOutcome::Written(version)) => {
                tracing::debug!("admin: wrote {} audit records to {key}", write.record_count);
                self.trail.apply_write(write, version);
                Ok(true)
            }
            Ok(PutOutcome::Conflict { .. }) => Ok(false),
            Err(e) if e.effect() == CallEffect::Unknown => {
                tracing::warn!(
                    "admin: write of {key} has an unknown outcome, reading it back: {e}"
                );
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    async fn delete_excess_segments(&mut self) {
        while let Some((number, version)) = self.trail.excess_segment() {
            let key = Trail::key(number);
            match self
                .store
                .delete(&key, Precondition::Version(version))
                .await
            {
                Ok(DeleteOutcome::Deleted(_) | DeleteOutcome::Absent) => {
                    self.trail.apply_deletion(&key)
                }
                // The next refresh reads the conflicting change.
                Ok(DeleteOutcome::Conflict { .. }) => return,
                Err(e) => {
                    tracing::warn!(
                        "admin: failed to delete old segment {key}, retrying later: {e}"
                    );
                    return;
                }
            }
        }
    }

    /// Refuses the records that must be written before their command takes effect. Keeps the others until the store is
    /// available.
    fn defer(&mut self, appends: Vec<AppendRequest>, e: &PlatformError) {
        for mut append in appends {
            if append.after.is_some() {
                append.respond(Err(store_unavailable(e)));
                continue;
            }
            if append.reply.is_some() {
                tracing::warn!("admin: failed to write an audit record, retrying: {e}");
            }
            append.record.late = true;
            if let Some(reply) = append.reply.take() {
                let _ = reply.send(Ok(false));
            }
            self.pending.push(append);
        }
        if self.pending.len() > MAX_PENDING {
            let dropped = self.pending.len() - MAX_PENDING;
            self.pending.drain(..dropped);
            tracing::error!(
                "admin: {dropped} oldest audit records lost: more than {MAX_PENDING} wait for the store"
            );
        }
    }
}
