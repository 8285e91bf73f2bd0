use std::path::PathBuf;

use argh::FromArgs;

/// Load tests and experiments of lagoonspindle in virtual time.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// print the results as JSON
    #[argh(switch)]
    pub(crate) json: bool,
    /// seed of all random sources (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// scenario to run, or "all" (default); "list" prints the names
    #[argh(option, default = "String::from(\"all\")")]
    pub(crate) scenario: String,
    /// use small fleets and short runs
    #[argh(switch)]
    pub(crate) small: bool,
    /// directory for the plots of the scenarios "flood-least" and "cost"
    #[argh(option)]
    pub(crate) plots: Option<PathBuf>,
}
