use argh::FromArgs;

/// Show each executor with its room and whether it is trusted. Only the owner knows.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "executors")]
pub(crate) struct InspectExecutorsArgs {}
