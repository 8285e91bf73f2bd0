use std::collections::{BTreeMap, HashMap};

use lagoon_core::id::CommandId;
use lagoon_platform::store::{Precondition, StoreEntry};

use crate::audit::{PREFIX, Record, Segment, SegmentWrite};
use crate::settings::AuditSettings;

/// Upper bound of the JSON around a segment's records.
const ENVELOPE_BYTES: usize = 64;

/// In-memory copy of the trail. Performs no I/O.
#[derive(Debug)]
pub(super) struct Trail {
    settings: AuditSettings,
    segments: BTreeMap<u64, StoredSegment>,
}

#[derive(Debug)]
struct StoredSegment {
    version: u64,
    bytes: usize,
    segment: Segment,
}

impl Trail {
    pub(super) fn new(settings: AuditSettings) -> Self {
        Self {
            settings,
            segments: BTreeMap::new(),
        }
    }

    /// Returns the key of a segment. Keys sort in the order of their numbers.
    pub(super) fn key(number: u64) -> String {
        format!("{PREFIX}segment/{number:010}")
    }

    fn number(key: &str) -> Option<u64> {
        let number = key.strip_prefix(PREFIX)?.strip_prefix("segment/")?;
        number.parse().ok()
    }

    /// Applies an entry of the store. Entries that are not segments are ignored.
    pub(super) fn apply_entry(&mut self, entry: &StoreEntry) {
        let Some(number) = Self::number(&entry.key) else {
            return;
        };
        let segment = match serde_json::from_str(&entry.value) {
            Ok(segment) => segment,
            Err(e) => {
                // Its size counts as `usize::MAX`, so it is never overwritten and the next write starts a new segment.
                tracing::error!(
                    "admin: audit segment {} is not valid; its records are not shown: {e}",
                    entry.key
                );
                Segment::default()
            }
        };
        let readable = !segment.records.is_empty();
        let stored = StoredSegment {
            version: entry.version,
            bytes: if readable {
                entry.value.len()
            } else {
                usize::MAX
            },
            segment,
        };
        self.segments.insert(number, stored);
    }

    /// Applies the deletion of a key.
    pub(super) fn apply_deletion(&mut self, key: &str) {
        if let Some(number) = Self::number(key) {
            self.segments.remove(&number);
        }
    }

    /// Removes all segments before the trail is read again.
    pub(super) fn clear(&mut self) {
        self.segments.clear();
    }

    fn records(&self) -> impl DoubleEndedIterator<Item = &Record> {
        let segments = self.segments.values();
        segments.flat_map(|stored| &stored.segment.records)
    }

    /// Returns the latest record of a command.
    pub(super) fn find(&self, command: &CommandId) -> Option<&Record> {
        self.records()
            .rev()
            .find(|record| record.command == *command)
    }

    /// Returns true if the trail has a record of the same event.
    pub(super) fn contains(&self, record: &Record) -> bool {
        self.records().any(|other| other.is_same_event(record))
    }

    /// Returns the latest record of each command, ordered by the first record of the command.
    pub(super) fn latest_records(&self) -> Vec<Record> {
        let mut latest: Vec<Record> = Vec::new();
        let mut indices: HashMap<&CommandId, usize> = HashMap::new();
        for record in self.records() {
            match indices.get(&record.command) {
                Some(index) => latest[*index] = record.clone(),
                None => {
                    indices.insert(&record.command, latest.len());
                    latest.push(record.clone());
                }
            }
        }
        latest
    }

    /// Prepares a write with as many of `records` as fit, but at least one. If the first record does not fit into the
    /// last segment, a new segment is started, so only a segment with a single record can exceed the size limit.
    pub(super) fn next_write<'a>(
        &self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<SegmentWrite, serde_json::Error> {
        let limit = self.settings.segment_bytes.get() as usize;
        let mut records = records.peekable();
        let first = records
            .peek()
            .map_or(Ok(0), |record| encoded_size(record))?;
        let last = self.segments.last_key_value();
        let fits =
            |(_, stored): &(&u64, &StoredSegment)| stored.bytes.saturating_add(first) <= limit;
        let (number, mut segment, mut bytes, precondition) = match last.filter(fits) {
            Some((number, stored)) => {
                let precondition = Precondition::Version(stored.version);
                (*number, stored.segment.clone(), stored.bytes, precondition)
            }
            None => {
                let number = last.map_or(1, |(number, _)| number + 1);
                (
                    number,
                    Segment::default(),
                    ENVELOPE_BYTES,
                    Precondition::Absent,
                )
            }
        };
        let mut record_count = 0;
        for record in records {
            bytes += encoded_size(record)?;
            if record_count > 0 && bytes > limit {
                break;
            }
            segment.records.push(record.clone());
            record_count += 1;
        }
        let value = serde_json::to_string(&segment)?;
        Ok(SegmentWrite {
            number,
            segment,
            value,
            precondition,
            record_count,
        })
    }

    /// Applies a successful write.
    pub(super) fn apply_write(&mut self, write: SegmentWrite, version: u64) {
        let stored = StoredSegment {
            version,
            bytes: write.value.len(),
            segment: write.segment,
        };
        self.segments.insert(write.number, stored);
    }

    /// Returns the number and version of the oldest segment if the trail has more segments than the limit.
    pub(super) fn excess_segment(&self) -> Option<(u64, u64)> {
        let too_many = self.segments.len() > self.settings.segments;
        let oldest = self.segments.first_key_value().filter(|_| too_many);
        oldest.map(|(number, stored)| (*number, stored.version))
    }
}

/// Returns the size of a record in a segment, including its separator.
fn encoded_size(record: &Record) -> Result<usize, serde_json::Error> {
    Ok(serde_json::to_string(record)?.len() + 1)
}
