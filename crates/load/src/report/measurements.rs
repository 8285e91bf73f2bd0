use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use lagoon_core::code::ResultCode;
use lagoon_core::shard::StartResult;
use lagoon_core::unit::Timestamp;
use lagoon_core::work::WorkKind;

use crate::report::{Class, ClassRow, Cost, add, new_histogram, record};
use crate::sim::Job;

/// Width of the buckets for the longest waits, in milliseconds.
const WAIT_BUCKET_MS: u64 = 5_000;

/// Measurements of one run.
#[derive(Debug)]
pub(crate) struct Measurements {
    ends: BTreeMap<Class, EndCounts>,
    rows: BTreeMap<Class, ClassRow>,
    /// Longest wait in milliseconds by class and bucket of the submission time.
    longest_waits: BTreeMap<Class, BTreeMap<u64, u64>>,
    refusals: BTreeMap<u16, u64>,
    /// Allocated share of the dominant resource when feasible work was first refused for lack of capacity.
    pub(crate) first_refusal_share: Option<f64>,
    pub(crate) cancelled: u64,
    pub(crate) store_calls: u64,
    /// Starts that a worker refused for lack of capacity.
    pub(crate) did_not_fit: u64,
    per_start: Histogram<u64>,
    other_calls: Histogram<u64>,
    total: Duration,
    starts: u64,
    window: Option<(Timestamp, Timestamp)>,
}

#[derive(Debug, Default, Clone, Copy)]
struct EndCounts {
    succeeded: u64,
    failed: u64,
    refused: u64,
}

impl Measurements {
    pub(crate) fn new() -> Self {
        Self {
            ends: BTreeMap::new(),
            rows: BTreeMap::new(),
            longest_waits: BTreeMap::new(),
            refusals: BTreeMap::new(),
            first_refusal_share: None,
            cancelled: 0,
            store_calls: 0,
            did_not_fit: 0,
            per_start: new_histogram(),
            other_calls: new_histogram(),
            total: Duration::ZERO,
            starts: 0,
            window: None,
        }
    }

    /// Restricts waits and counts to work submitted in a window, and throughput to starts in the window.
    pub(crate) fn set_window(&mut self, from: Timestamp, until: Timestamp) {
        self.window = Some((from, until));
    }

    pub(crate) fn record_call(&mut self, elapsed: Duration, starts: usize) {
        self.total += elapsed;
        self.starts += starts as u64;
        match starts as u32 {
            0 => record(&mut self.other_calls, elapsed),
            starts => record(&mut self.per_start, elapsed / starts),
        }
    }

    pub(crate) fn record_start_result(&mut self, result: &StartResult) {
        self.did_not_fit += u64::from(*result == StartResult::DoesNotFit);
    }

    /// Records the end of a job. Calls `share` for the share in use at the first refusal for lack of capacity.
    pub(crate) fn record_end(
        &mut self,
        job: &Job,
        failure: Option<ResultCode>,
        share: impl FnOnce() -> f64,
    ) {
        let in_window = self.is_in_window(job.submitted);
        let ends = self
            .ends
            .entry(Class::of(&job.spec, job.flood))
            .or_default();
        let Some(code) = failure else {
            ends.succeeded += u64::from(in_window);
            return;
        };
        ends.refused += u64::from(in_window);
        *self.refusals.entry(code.number()).or_default() += 1;
        let for_capacity = matches!(
            code,
            ResultCode::Overloaded
                | ResultCode::QueueFull
                | ResultCode::DeadlineInfeasible
                | ResultCode::DeadlinePassed
        );
        if for_capacity && job.spec.kind != WorkKind::Service && self.first_refusal_share.is_none()
        {
            self.first_refusal_share = Some(share());
        }
    }

    pub(crate) fn record_failure(&mut self, job: &Job) {
        let in_window = self.is_in_window(job.submitted);
        let ends = self
            .ends
            .entry(Class::of(&job.spec, job.flood))
            .or_default();
        ends.failed += u64::from(in_window);
    }

    /// Computes the rows at the end of a run.
    pub(crate) fn finish(&mut self, jobs: &[Job], end: Timestamp) {
        self.record_longest_waits(jobs, end);
        let mut waits: BTreeMap<Class, (u64, u64, Histogram<u64>)> = BTreeMap::new();
        let mut starts_in_window: BTreeMap<Class, u64> = BTreeMap::new();
        let starts = jobs.iter().filter_map(|job| Some((job, job.started?)));
        for (job, _) in starts.filter(|(_, at)| self.is_in_window(*at)) {
            let class = Class::of(&job.spec, job.flood);
            *starts_in_window.entry(class).or_default() += 1;
        }
        for job in jobs.iter().filter(|job| self.is_in_window(job.submitted)) {
            let class = Class::of(&job.spec, job.flood);
            let new = || (0, 0, new_histogram());
            let (submitted, started, wait_times) = waits.entry(class).or_insert_with(new);
            *submitted += 1;
            *started += u64::from(job.started.is_some());
            if let Some(until) = wait_end(job, end) {
                add(wait_times, until.since(job.submitted).get());
            }
        }
        let first = jobs.first().map_or(end, |job| job.submitted);
        let (from, until) = self.window.unwrap_or((first, end));
        let seconds = until.since(from).get().max(1) as f64 / 1_000.0;
        for (class, (submitted, started, wait_times)) in waits {
            let ends = self.ends.get(&class).copied().unwrap_or_default();
            let row = ClassRow {
                class: class.to_string(),
                submitted,
                started,
                succeeded: ends.succeeded,
                failed: ends.failed,
                refused: ends.refused,
                wait_p50: wait_times.value_at_quantile(0.5),
                wait_p99: wait_times.value_at_quantile(0.99),
                wait_max: wait_times.max(),
                starts_per_second: starts_in_window.get(&class).copied().unwrap_or(0) as f64
                    / seconds,
            };
            self.rows.insert(class, row);
        }
    }

    fn record_longest_waits(&mut self, jobs: &[Job], end: Timestamp) {
        let Some(first) = jobs.first().map(|job| job.submitted) else {
            return;
        };
        for job in jobs {
            let Some(until) = wait_end(job, end) else {
                continue;
            };
            let bucket = job.submitted.since(first).get() / WAIT_BUCKET_MS * WAIT_BUCKET_MS;
            let class = Class::of(&job.spec, job.flood);
            let buckets = self.longest_waits.entry(class).or_default();
            let longest = buckets.entry(bucket).or_default();
            *longest = until.since(job.submitted).get().max(*longest);
        }
    }

    /// Returns the longest waits in milliseconds by submission time in seconds, for each class.
    pub(crate) fn series(&self) -> BTreeMap<String, Vec<(f64, f64)>> {
        let points = |buckets: &BTreeMap<u64, u64>| {
            let points = buckets.iter();
            let points = points.map(|(at, wait)| (*at as f64 / 1_000.0, *wait as f64));
            points.collect()
        };
        let longest_waits = self.longest_waits.iter();
        longest_waits
            .map(|(class, buckets)| (class.to_string(), points(buckets)))
            .collect()
    }

    pub(crate) fn rows(&self) -> Vec<ClassRow> {
        self.rows.values().cloned().collect()
    }

    /// Returns the number of refusals by code, written as number and name.
    pub(crate) fn refusals(&self) -> BTreeMap<String, u64> {
        let name = |number: &u16| {
            let mut codes = ResultCode::ALL.iter();
            let code = codes.find(|code| code.number() == *number);
            code.map_or("unknown", |code| code.name())
        };
        let refusals = self.refusals.iter();
        refusals
            .map(|(number, count)| (format!("{number} {}", name(number)), *count))
            .collect()
    }

    pub(crate) fn costs(&self) -> Vec<Cost> {
        vec![
            Cost::of("call with starts, per start", &self.per_start),
            Cost::of("other calls", &self.other_calls),
        ]
    }

    /// Returns the starts per second of wall-clock time spent in the policy, including calls without starts.
    pub(crate) fn starts_per_busy_second(&self) -> f64 {
        self.starts as f64 / self.total.as_secs_f64().max(1e-9)
    }

    fn is_in_window(&self, submitted: Timestamp) -> bool {
        let window = self.window;
        window.is_none_or(|(from, until)| (from..until).contains(&submitted))
    }
}

/// Returns the end of a job's wait: its start, the refusal at its start deadline, or the end of the simulation. Returns
/// `None` if the job was refused for another reason.
fn wait_end(job: &Job, end: Timestamp) -> Option<Timestamp> {
    let still_waiting = (!job.ended).then_some(end);
    job.started.or(job.expired_at).or(still_waiting)
}
