use argh::FromArgs;

use crate::args::{
    CancelArgs, CheckArgs, ExplainArgs, InspectArgs, ListArgs, ShowArgs, SubmitArgs, TicketsArgs,
};

/// A command of `lagoonctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Submit(SubmitArgs),
    List(ListArgs),
    Show(ShowArgs),
    Cancel(CancelArgs),
    Tickets(TicketsArgs),
    Check(CheckArgs),
    Explain(ExplainArgs),
    Inspect(InspectArgs),
}
