use std::cmp::Ordering;

use lagoon_language::syntax::{Field, Show, Sort, SortKey};

use crate::query::Row;

/// Rows selected by a query.
pub(super) struct Selected {
    pub(super) columns: Vec<&'static str>,
    pub(super) rows: Vec<Row>,
    pub(super) total: usize,
}

/// Filters, counts, sorts and limits the rows of a table.
pub(super) fn select(show: &Show, mut rows: Vec<Row>) -> Selected {
    if let Some(filter) = &show.filter {
        rows.retain(|row| filter.matches(&|field| row.get(field.name()).cloned()));
    }
    let mut columns: Vec<&'static str> = show.table.fields().iter().map(Field::name).collect();
    if let Some(field) = show.count_by {
        rows = count(field, rows);
        columns = vec![field.name(), SortKey::COUNT];
    }
    if let Some(sort) = show.sort {
        rows.sort_by(|a, b| compare(sort, a, b));
    }
    let total = rows.len();
    rows.truncate(show.limit.map_or(usize::MAX, |limit| limit as usize));
    Selected {
        columns,
        rows,
        total,
    }
}

fn count(field: Field, mut rows: Vec<Row>) -> Vec<Row> {
    let same = |a: &Row, b: &Row| compare_cells(field.name(), a, b);
    rows.sort_by(same);
    let groups = rows.chunk_by(|a, b| same(a, b).is_eq());
    groups
        .map(|group| {
            let value = group[0].get(field.name()).cloned();
            Row::counted(field, value, group.len() as u64)
        })
        .collect()
}

fn compare(sort: Sort, a: &Row, b: &Row) -> Ordering {
    let name = match sort.key {
        SortKey::Field(field) => field.name(),
        SortKey::Count => SortKey::COUNT,
    };
    let order = compare_cells(name, a, b);
    if sort.descending {
        order.reverse()
    } else {
        order
    }
}

/// Compares two rows by a column. Rows without a value sort first.
fn compare_cells(name: &str, a: &Row, b: &Row) -> Ordering {
    match (a.get(name), b.get(name)) {
        (Some(a), Some(b)) => a.compare(b).unwrap_or(Ordering::Equal),
        (a, b) => a.is_some().cmp(&b.is_some()),
    }
}
