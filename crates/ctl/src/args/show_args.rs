use argh::FromArgs;
use lagoon_core::id::WorkId;

/// Show the state of a job, and its result once it has ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show", example = "lagoonctl show w:cluj:3:7:15")]
pub(crate) struct ShowArgs {
    /// id of the job
    #[argh(positional)]
    pub(crate) work: WorkId,
}
