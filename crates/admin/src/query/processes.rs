use lagoon_core::unit::Millis;
use lagoon_language::syntax::{Table, Value};
use lagoon_wire::v1;

use crate::query::Row;
use crate::query::row::{number, text};

/// Returns the rows of the table `processes`.
pub(super) fn process_rows(members: &[(v1::Member, Millis)]) -> Vec<Row> {
    let row = |(member, age): &(v1::Member, Millis)| {
        Row::new(Table::Processes, |field| value(member, *age, field))
    };
    members.iter().map(row).collect()
}

fn value(member: &v1::Member, age: Millis, field: &str) -> Option<Value> {
    match field {
        "process" => text(&member.process),
        "role" => text(&member.role),
        "domain" => text(&member.domain),
        "address" => text(&member.address),
        "policy_version" => number(member.policy_version),
        "shards" => number(member.shards.len() as u64),
        "age" => Some(Value::Duration(age)),
        _ => None,
    }
}
