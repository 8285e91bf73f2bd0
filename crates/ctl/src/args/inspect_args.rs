use argh::FromArgs;

use crate::args::{InspectCellArgs, InspectExecutorsArgs, InspectJobArgs};

/// Show the state of a running lagoon-node: its cell and, on the owner of the cell, its executors and jobs.
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
    pub(crate) kind: InspectKind,
}

/// What to inspect.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum InspectKind {
    Cell(InspectCellArgs),
    Executors(InspectExecutorsArgs),
    Job(InspectJobArgs),
}
