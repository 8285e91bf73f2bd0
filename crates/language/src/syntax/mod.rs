//! Syntax tree. Every type prints its canonical form, and names are checked against their table when they are parsed,
//! so that no later stage meets an unknown field or a value with the wrong unit.

#[macro_use]
mod change_type;

mod command;
mod comparison;
mod field;
mod filter;
mod health_change;
mod kind_change;
mod operator;
mod place;
mod query;
mod queue_change;
mod service_change;
mod setting;
mod show;
mod sort;
mod sort_key;
mod statement;
mod table;
mod target;
mod team_change;
mod value;
mod value_kind;
mod work_action;

pub(crate) use self::value::is_word_char;
pub use self::{
    command::Command, comparison::Comparison, field::Field, filter::Filter,
    health_change::HealthChange, kind_change::KindChange, operator::Operator, place::Place,
    query::Query, queue_change::QueueChange, service_change::ServiceChange, setting::Setting,
    show::Show, sort::Sort, sort_key::SortKey, statement::Statement, table::Table, target::Target,
    team_change::TeamChange, value::Value, value_kind::ValueKind, work_action::WorkAction,
};
