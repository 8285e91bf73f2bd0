//! Measurements and reports.

mod check;
mod class;
mod class_row;
mod cost;
mod measurements;
mod scenario_report;
mod table;

pub use self::{check::Check, class_row::ClassRow, cost::Cost, scenario_report::ScenarioReport};
pub(crate) use self::{
    class::Class,
    cost::{add, new_histogram, record},
    measurements::Measurements,
    table::print,
};
