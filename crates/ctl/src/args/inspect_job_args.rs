use argh::FromArgs;
use lagoon_jobs::id::JobId;

/// Show the steps and runs of a job that has not ended, and why tasks wait. Only the owner of the cell has them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct InspectJobArgs {
    /// id of the job, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) job: JobId,
}
