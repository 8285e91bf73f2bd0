use std::path::PathBuf;

use argh::FromArgs;
use lagoon_process::reference::Kind;

/// Check a policy document (YAML or JSON) or a settings file and print every problem. Needs no gateway.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "lagoonctl check policy.yaml\nlagoonctl check --kind gateway gateway.yaml",
    error_code(2, "The file is invalid.")
)]
pub(crate) struct CheckArgs {
    /// policy (default), gateway or scheduler
    #[argh(option, default = "Kind::Policy")]
    pub(crate) kind: Kind,
    /// file to check
    #[argh(positional)]
    pub(crate) file: PathBuf,
}
