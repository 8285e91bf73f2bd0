use lagoon_core::id::{ProcessId, WorkId};
use lagoon_core::policy::Policy;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::Query;
use lagoon_language::syntax::{Show, Table};
use lagoon_process::Clock;
use lagoon_wire::v1;
use serde_json::{Map, Value};

use crate::audit::AuditLog;
use crate::change::PolicyStore;
use crate::query::changes::change_rows;
use crate::query::policy_rows::{policy_rows, team_rows};
use crate::query::processes::process_rows;
use crate::query::select::select;
use crate::query::shards::{executor_rows, shard_rows, worker_rows};
use crate::query::work_rows::work_row;
use crate::query::{QueryResponse, Row, SourceAge};
use crate::schedulers::{SchedulerPool, Snapshot};
use crate::util::MissingSource;

/// Executes queries.
#[derive(Debug)]
pub(crate) struct QueryRunner {
    pub(crate) process: ProcessId,
    pub(crate) schedulers: SchedulerPool,
    pub(crate) policy: PolicyStore,
    pub(crate) audit: AuditLog,
    pub(crate) clock: Clock,
}

/// Rows of a table before selection, with their sources.
struct Source {
    rows: Vec<Row>,
    parts: Vec<SourceAge>,
    missing: Vec<MissingSource>,
}

impl QueryRunner {
    /// Executes a query.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no data to answer from, such as for an unknown piece of work.
    pub(crate) async fn run(&self, query: &Query) -> Result<QueryResponse, Refusal> {
        match query {
            Query::Show(show) => self.show(show, query.to_string()).await,
            Query::Why(work) => self.why(work, query.to_string()).await,
        }
    }

    async fn show(&self, show: &Show, text: String) -> Result<QueryResponse, Refusal> {
        let source = match show.table {
            Table::Work => self.work_source().await,
            Table::Workers => self.shard_source(worker_rows).await,
            Table::Executors => self.shard_source(executor_rows).await,
            Table::Shards => self.shard_source(shard_rows).await,
            Table::Teams => self.policy_source(team_rows).await?,
            Table::Policy => self.policy_source(policy_rows).await?,
            Table::Processes => self.process_source(),
            Table::Changes => self.change_source().await?,
        };
        let selected = select(show, source.rows);
        Ok(QueryResponse {
            text,
            columns: selected.columns,
            rows: selected.rows.iter().map(Row::to_json).collect(),
            total: selected.total,
            parts: source.parts,
            missing: source.missing,
        })
    }

    async fn why(&self, work: &WorkId, text: String) -> Result<QueryResponse, Refusal> {
        let snapshot = self.schedulers.snapshot().await;
        let response = self.schedulers.explain(&snapshot, work).await?;
        let state = response.status.map(|status| status.state);
        let cells = [
            ("work", work.to_string()),
            ("state", state.unwrap_or_default()),
            ("rule", response.rule),
            ("remedy", response.remedy),
        ];
        let row: Map<String, Value> = cells
            .iter()
            .filter(|(_, value)| !value.is_empty())
            .map(|(name, value)| ((*name).to_owned(), value.as_str().into()))
            .collect();
        let (address, shard) = snapshot.owner(work.shard())?;
        Ok(QueryResponse {
            text,
            columns: cells.iter().map(|(name, _)| *name).collect(),
            rows: vec![row],
            total: 1,
            parts: vec![SourceAge::new(&shard.owner, address, Millis::ZERO)],
            missing: Vec::new(),
        })
    }

    fn source(&self, snapshot: Snapshot, rows: Vec<Row>) -> Source {
        let now = self.clock.now();
        let parts = snapshot.reports.iter();
        Source {
            rows,
            parts: parts.map(|report| SourceAge::of(report, now)).collect(),
            missing: snapshot.missing,
        }
    }

    async fn shard_source(&self, rows: fn(&Snapshot) -> Vec<Row>) -> Source {
        let snapshot = self.schedulers.snapshot().await;
        let rows = rows(&snapshot);
        self.source(snapshot, rows)
    }

    async fn work_source(&self) -> Source {
        let mut snapshot = self.schedulers.snapshot().await;
        let list = self.schedulers.works(&snapshot).await;
        // Work is only listed from owners that responded, so earlier reports are not sources.
        snapshot.reports.retain(|report| report.fresh);
        let now = self.clock.now();
        let rows = list.works.iter().map(|work| work_row(work, now)).collect();
        let mut source = self.source(snapshot, rows);
        source.missing.extend(list.missing);
        source
    }

    /// Reads the policy from the store, or from the scheduler with the newest version while the store is down.
    async fn policy_source(&self, rows: fn(&Policy) -> Vec<Row>) -> Result<Source, Refusal> {
        let refusal = match self.policy.read().await {
            Ok(stored) => {
                let rows = rows(&stored.policy);
                return Ok(Source {
                    rows,
                    parts: vec![SourceAge::new("store", "store", Millis::ZERO)],
                    missing: Vec::new(),
                });
            }
            Err(refusal) => refusal,
        };
        let from_scheduler = self.schedulers.policy().await;
        let parsed = from_scheduler.and_then(|(address, document)| {
            let policy: Policy = serde_json::from_str(&document).ok()?;
            Some((address, policy))
        });
        let (address, policy) = parsed.ok_or(refusal.clone())?;
        Ok(Source {
            rows: rows(&policy),
            parts: vec![SourceAge::new("scheduler", address, Millis::ZERO)],
            missing: vec![MissingSource::new("store", refusal.message)],
        })
    }

    fn process_source(&self) -> Source {
        let members = self.schedulers.members.list_with_age(self.clock.now());
        Source {
            rows: process_rows(&members),
            parts: vec![SourceAge::new(&self.process, "heartbeats", Millis::ZERO)],
            missing: self.unresponsive_members(&members),
        }
    }

    fn unresponsive_members(&self, members: &[(v1::Member, Millis)]) -> Vec<MissingSource> {
        let has_responded =
            |address: &str| members.iter().any(|(member, _)| member.address == address);
        let all = self.schedulers.members.addresses().into_iter();
        let unresponsive = all.filter(|address| !has_responded(&address.to_string()));
        unresponsive
            .map(|address| MissingSource::new(address, "no heartbeat response"))
            .collect()
    }

    async fn change_source(&self) -> Result<Source, Refusal> {
        let (records, fresh) = self.audit.latest_records().await?;
        let reason = "showing only records that this process has read or written";
        let missing = (!fresh).then(|| MissingSource::new("store", reason));
        if records.is_empty() && !fresh {
            let text = "the store is unavailable and no audit records are cached";
            return Err(Refusal::new(ResultCode::StoreUnavailable, text));
        }
        Ok(Source {
            rows: change_rows(&records, self.clock.now()),
            parts: vec![SourceAge::new(&self.process, "audit trail", Millis::ZERO)],
            missing: missing.into_iter().collect(),
        })
    }
}
