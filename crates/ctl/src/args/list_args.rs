use argh::FromArgs;
use lagoon_core::id::TeamId;

/// List jobs, newest first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "lagoonctl list --team a --state waiting --limit 20"
)]
pub(crate) struct ListArgs {
    /// only jobs of this team
    #[argh(option)]
    pub(crate) team: Option<TeamId>,
    /// only jobs that are waiting, held, starting, running, unresolved or ended
    #[argh(option)]
    pub(crate) state: Option<String>,
    /// maximum number of jobs (default 100)
    #[argh(option, default = "100", arg_name = "number")]
    pub(crate) limit: u32,
}
