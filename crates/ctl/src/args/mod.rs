//! Command-line arguments, one type per command.

mod batch_args;
mod cancel_args;
mod check_args;
mod command;
mod ctl_args;
mod explain_args;
mod gang_args;
mod inspect_args;
mod inspect_cell_args;
mod inspect_executors_args;
mod inspect_job_args;
mod list_args;
mod output_format;
mod request_args;
mod show_args;
mod submit_args;
mod tickets_args;

pub(crate) use self::{
    batch_args::BatchArgs, cancel_args::CancelArgs, check_args::CheckArgs, command::Command,
    ctl_args::CtlArgs, explain_args::ExplainArgs, gang_args::GangArgs, inspect_args::InspectArgs,
    inspect_args::InspectKind, inspect_cell_args::InspectCellArgs,
    inspect_executors_args::InspectExecutorsArgs, inspect_job_args::InspectJobArgs,
    list_args::ListArgs, output_format::OutputFormat, request_args::RequestArgs,
    show_args::ShowArgs, submit_args::SubmitArgs, submit_args::SubmitKind,
    tickets_args::TicketsArgs,
};
