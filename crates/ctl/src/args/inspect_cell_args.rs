use argh::FromArgs;

/// Show the members and the owner of the cell, the configuration in force, and jobs that wait.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct InspectCellArgs {}
