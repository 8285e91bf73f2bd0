use std::collections::{BTreeMap, HashMap};

use lagoon_core::id::CommandId;
use lagoon_platform::store::{Precondition, StoreEntry};

use crate::audit::{PREFIX, Record, Segment, SegmentWrite};
use crate::settings::AuditSettings;

/// Room for the frame of a segment's JSON.
const FRAME_BYTES: usize = 64;

/// Copy of the trail in memory. It performs no I/O.
#[derive(Debug)]
pub(super) struct Trail {
    settings: AuditSettings,
    segments: BTreeMap<u64, Stored>,
}

#[derive(Debug)]
struct Stored {
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

    /// Returns the key of a segment. Keys sort like their numbers.
    pub(super) fn key(number: u64) -> String {
        format!("{PREFIX}segment/{number:010}")
    }

    fn number(key: &str) -> Option<u64> {
        let number = key.strip_prefix(PREFIX)?.strip_prefix("segment/")?;
        number.parse().ok()
    }

    /// Takes in an entry of the store; entries that are no segments are left alone.
    pub(super) fn put(&mut self, entry: &StoreEntry) {
        let Some(number) = Self::number(&entry.key) else {
            return;
        };
        let segment = match serde_json::from_str(&entry.value) {
            Ok(segment) => segment,
            Err(e) => {
                // The segment is never overwritten: the next write goes to a new one.
                tracing::error!("admin: {} can't be read: {e}", entry.key);
                Segment::default()
            }
        };
        let readable = !segment.records.is_empty();
        let stored = Stored {
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

    /// Takes in a deletion.
    pub(super) fn deleted(&mut self, key: &str) {
        if let Some(number) = Self::number(key) {
            self.segments.remove(&number);
        }
    }

    /// Forgets everything, before it is read again.
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

    /// Tells whether the trail has a record of this very event.
    pub(super) fn contains(&self, record: &Record) -> bool {
        self.records().any(|other| other.is_same_event(record))
    }

    /// Returns the latest record of each command, in the order in which the commands began.
    pub(super) fn latest(&self) -> Vec<Record> {
        let mut latest: Vec<Record> = Vec::new();
        let mut places: HashMap<&CommandId, usize> = HashMap::new();
        for record in self.records() {
            match places.get(&record.command) {
                Some(place) => latest[*place] = record.clone(),
                None => {
                    places.insert(&record.command, latest.len());
                    latest.push(record.clone());
                }
            }
        }
        latest
    }

    /// Prepares the write of as many of `records` as fit, at least one. A record that is too long for the rest of the
    /// last segment begins a new one, so that no segment outgrows the limit unless one record does.
    pub(super) fn next_write<'a>(
        &self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<SegmentWrite, serde_json::Error> {
        let limit = self.settings.segment_bytes.get() as usize;
        let mut records = records.peekable();
        let first = records.peek().map_or(Ok(0), |record| size_of(record))?;
        let last = self.segments.last_key_value();
        let fits = |(_, stored): &(&u64, &Stored)| stored.bytes.saturating_add(first) <= limit;
        let (number, mut segment, mut bytes, expect) = match last.filter(fits) {
            Some((number, stored)) => {
                let expect = Precondition::Version(stored.version);
                (*number, stored.segment.clone(), stored.bytes, expect)
            }
            None => {
                let number = last.map_or(1, |(number, _)| number + 1);
                (
                    number,
                    Segment::default(),
                    FRAME_BYTES,
                    Precondition::Absent,
                )
            }
        };
        let mut taken = 0;
        for record in records {
            bytes += size_of(record)?;
            if taken > 0 && bytes > limit {
                break;
            }
            segment.records.push(record.clone());
            taken += 1;
        }
        let value = serde_json::to_string(&segment)?;
        Ok(SegmentWrite {
            number,
            segment,
            value,
            expect,
            taken,
        })
    }

    /// Takes in a write that succeeded.
    pub(super) fn written(&mut self, write: SegmentWrite, version: u64) {
        let stored = Stored {
            version,
            bytes: write.value.len(),
            segment: write.segment,
        };
        self.segments.insert(write.number, stored);
    }

    /// Returns the number and version of the oldest segment if there are too many.
    pub(super) fn excess(&self) -> Option<(u64, u64)> {
        let too_many = self.segments.len() > self.settings.segments;
        let oldest = self.segments.first_key_value().filter(|_| too_many);
        oldest.map(|(number, stored)| (*number, stored.version))
    }
}

/// Returns the size of a record in a segment, with its separator.
fn size_of(record: &Record) -> Result<usize, serde_json::Error> {
    Ok(serde_json::to_string(record)?.len() + 1)
}
