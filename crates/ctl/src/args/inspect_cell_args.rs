use argh::FromArgs;

/// Show the members and owner of the cell, the configuration in force and waiting jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cell")]
pub(crate) struct InspectCellArgs {}
