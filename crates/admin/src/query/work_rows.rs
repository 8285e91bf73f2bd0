use lagoon_core::id::WorkId;
use lagoon_core::unit::Timestamp;
use lagoon_language::syntax::{Filter, Table, Value};
use lagoon_wire::convert::resources_from_wire;
use lagoon_wire::v1;

use crate::query::Row;
use crate::query::row::{dimension, number, text};

/// Returns the row of the table `work` for a piece of work.
pub(super) fn work_row(work: &v1::WorkStatus, now: Timestamp) -> Row {
    Row::new(Table::Work, |field| value(work, field, now))
}

/// Returns true if a piece of work matches a filter on the table `work`.
pub(crate) fn matches_work(filter: &Filter, work: &v1::WorkStatus, now: Timestamp) -> bool {
    filter.matches(&|field| value(work, field.name(), now))
}

fn value(work: &v1::WorkStatus, field: &str, now: Timestamp) -> Option<Value> {
    let id = work.work.parse::<WorkId>().ok();
    let spec = work.spec.as_ref();
    let since = |at: u64| Value::Duration(now.since(Timestamp::from_millis(at)));
    match field {
        "work" => text(&work.work),
        "state" => text(&work.state),
        "kind" => text(&spec?.kind),
        "team" => text(&spec?.team),
        "priority" => number(spec?.priority),
        "age" => (work.accepted_at > 0).then(|| since(work.accepted_at)),
        "running" => work.started_at.map(since),
        "members" => number(spec?.members),
        "shard" => text(id?.shard()),
        "domain" => text(id?.shard().domain()),
        "service" => text(&spec?.service),
        "workers" => text(work.workers.join(" ")),
        "reason" => text(&work.reason),
        name => dimension(&resources_from_wire(spec?.resources.as_ref()?), name),
    }
}
