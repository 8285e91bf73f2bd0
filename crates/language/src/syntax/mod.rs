//! Syntax tree. Every type displays its canonical form. Field names and values are validated against their table by the
//! parser, so later stages never see an unknown field or a value with the wrong unit.

#[macro_use]
mod change_type;

mod command;
mod comparison;
mod drain_target;
mod field;
mod filter;
mod health_change;
mod kind_change;
mod operator;
mod query;
mod queue_change;
mod service_change;
mod setting;
mod show;
mod sort;
mod sort_key;
mod statement;
mod table;
mod team_change;
mod value;
mod value_kind;
mod work_action;
mod work_selector;

pub(crate) use self::value::is_word_char;
pub use self::{
    command::Command, comparison::Comparison, drain_target::DrainTarget, field::Field,
    filter::Filter, health_change::HealthChange, kind_change::KindChange, operator::Operator,
    query::Query, queue_change::QueueChange, service_change::ServiceChange, setting::Setting,
    show::Show, sort::Sort, sort_key::SortKey, statement::Statement, table::Table,
    team_change::TeamChange, value::Value, value_kind::ValueKind, work_action::WorkAction,
    work_selector::WorkSelector,
};
