use argh::FromArgs;

use crate::args::{InspectCellArgs, InspectExecutorsArgs, InspectJobArgs};

/// Show what a running lagoon-node believes: its cell, and on the owner of the cell executors and jobs.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "inspect",
    example = "lagoonctl inspect --node 10.1.0.15:9464 job 5c0e7a21d94b36f8"
)]
pub(crate) struct InspectArgs {
    /// metrics address of the node
    #[argh(option, arg_name = "ip:port")]
    pub(crate) node: String,
    #[argh(subcommand)]
    pub(crate) what: InspectKind,
}

/// What is shown.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum InspectKind {
    Cell(InspectCellArgs),
    Executors(InspectExecutorsArgs),
    Job(InspectJobArgs),
}
