use argh::FromArgs;

/// Show the free resources and availability of each executor. Only the owner of the cell has them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "executors")]
pub(crate) struct InspectExecutorsArgs {}
