use argh::FromArgs;
use lagoon_core::id::WorkId;

/// Cancel jobs. It is safe to repeat.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "lagoonctl cancel w:cluj:3:7:15 w:cluj:3:7:16"
)]
pub(crate) struct CancelArgs {
    /// ids of the jobs
    #[argh(positional)]
    pub(crate) work: Vec<WorkId>,
}
