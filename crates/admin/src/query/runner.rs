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
use crate::fleet::{Fleet, Snapshot};
use crate::query::changes::change_rows;
use crate::query::policy_rows::{policy_rows, team_rows};
use crate::query::processes::process_rows;
use crate::query::select::select;
use crate::query::shards::{executor_rows, shard_rows, worker_rows};
use crate::query::work_rows::work_row;
use crate::query::{Answer, PartAge, Row};
use crate::util::Missing;

/// Answers queries.
#[derive(Debug)]
pub(crate) struct Queries {
    pub(crate) process: ProcessId,
    pub(crate) fleet: Fleet,
    pub(crate) policy: PolicyStore,
    pub(crate) audit: AuditLog,
    pub(crate) clock: Clock,
}

/// Rows before they are selected, and where they are from.
struct Source {
    rows: Vec<Row>,
    parts: Vec<PartAge>,
    missing: Vec<Missing>,
}

impl Queries {
    /// Answers a query.
    ///
    /// # Errors
    ///
    /// When nothing at all can be said, such as for an unknown piece of work.
    pub(crate) async fn run(&self, query: &Query) -> Result<Answer, Refusal> {
        match query {
            Query::Show(show) => self.show(show, query.to_string()).await,
            Query::Why(work) => self.why(work, query.to_string()).await,
        }
    }

    async fn show(&self, show: &Show, text: String) -> Result<Answer, Refusal> {
        let source = match show.table {
            Table::Work => self.works().await,
            Table::Workers => self.of_shards(worker_rows).await,
            Table::Executors => self.of_shards(executor_rows).await,
            Table::Shards => self.of_shards(shard_rows).await,
            Table::Teams => self.of_policy(team_rows).await?,
            Table::Policy => self.of_policy(policy_rows).await?,
            Table::Processes => self.processes(),
            Table::Changes => self.changes().await?,
        };
        let selected = select(show, source.rows);
        Ok(Answer {
            text,
            columns: selected.columns,
            rows: selected.rows.iter().map(Row::to_json).collect(),
            total: selected.total,
            parts: source.parts,
            missing: source.missing,
        })
    }

    async fn why(&self, work: &WorkId, text: String) -> Result<Answer, Refusal> {
        let snapshot = self.fleet.snapshot().await;
        let answer = self.fleet.explain(&snapshot, work).await?;
        let state = answer.status.map(|status| status.state);
        let cells = [
            ("work", work.to_string()),
            ("state", state.unwrap_or_default()),
            ("rule", answer.rule),
            ("remedy", answer.remedy),
        ];
        let row: Map<String, Value> = cells
            .iter()
            .filter(|(_, value)| !value.is_empty())
            .map(|(name, value)| ((*name).to_owned(), value.as_str().into()))
            .collect();
        let (address, shard) = snapshot.owner(work.shard())?;
        Ok(Answer {
            text,
            columns: cells.iter().map(|(name, _)| *name).collect(),
            rows: vec![row],
            total: 1,
            parts: vec![PartAge::new(&shard.owner, address, Millis::ZERO)],
            missing: Vec::new(),
        })
    }

    fn source(&self, snapshot: Snapshot, rows: Vec<Row>) -> Source {
        let now = self.clock.now();
        let parts = snapshot.parts.iter();
        Source {
            rows,
            parts: parts.map(|part| PartAge::of(part, now)).collect(),
            missing: snapshot.missing,
        }
    }

    async fn of_shards(&self, rows: fn(&Snapshot) -> Vec<Row>) -> Source {
        let snapshot = self.fleet.snapshot().await;
        let rows = rows(&snapshot);
        self.source(snapshot, rows)
    }

    async fn works(&self) -> Source {
        let mut snapshot = self.fleet.snapshot().await;
        let list = self.fleet.works(&snapshot).await;
        // Work is never shown from an earlier answer, so such parts do not count.
        snapshot.parts.retain(|part| part.fresh);
        let now = self.clock.now();
        let rows = list.works.iter().map(|work| work_row(work, now)).collect();
        let mut source = self.source(snapshot, rows);
        source.missing.extend(list.missing);
        source
    }

    /// Reads the policy from the store, or while the store is down from the scheduler with the newest version.
    async fn of_policy(&self, rows: fn(&Policy) -> Vec<Row>) -> Result<Source, Refusal> {
        let refusal = match self.policy.read().await {
            Ok(stored) => {
                let rows = rows(&stored.policy);
                return Ok(Source {
                    rows,
                    parts: vec![PartAge::new("store", "store", Millis::ZERO)],
                    missing: Vec::new(),
                });
            }
            Err(refusal) => refusal,
        };
        let relayed = self.fleet.policy().await;
        let parsed = relayed.and_then(|(address, document)| {
            let policy: Policy = serde_json::from_str(&document).ok()?;
            Some((address, policy))
        });
        let (address, policy) = parsed.ok_or(refusal.clone())?;
        Ok(Source {
            rows: rows(&policy),
            parts: vec![PartAge::new("scheduler", address, Millis::ZERO)],
            missing: vec![Missing::new("store", refusal.message)],
        })
    }

    fn processes(&self) -> Source {
        let members = self.fleet.members.heard(self.clock.now());
        Source {
            rows: process_rows(&members),
            parts: vec![PartAge::new(&self.process, "heartbeats", Millis::ZERO)],
            missing: self.silent(&members),
        }
    }

    fn silent(&self, members: &[(v1::Member, Millis)]) -> Vec<Missing> {
        let heard = |address: &str| members.iter().any(|(member, _)| member.address == address);
        let all = self.fleet.members.addresses().into_iter();
        let silent = all.filter(|address| !heard(&address.to_string()));
        silent
            .map(|address| Missing::new(address, "no heartbeat was answered"))
            .collect()
    }

    async fn changes(&self) -> Result<Source, Refusal> {
        let (records, fresh) = self.audit.all().await?;
        let reason = "only records that this process has read or made are shown";
        let missing = (!fresh).then(|| Missing::new("store", reason));
        if records.is_empty() && !fresh {
            let text = "the store does not answer and no record is known";
            return Err(Refusal::new(ResultCode::StoreUnavailable, text));
        }
        Ok(Source {
            rows: change_rows(&records, self.clock.now()),
            parts: vec![PartAge::new(&self.process, "audit trail", Millis::ZERO)],
            missing: missing.into_iter().collect(),
        })
    }
}
