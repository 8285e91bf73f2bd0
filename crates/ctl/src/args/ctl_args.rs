use std::path::PathBuf;

use argh::FromArgs;
use lagoon_core::unit::Millis;

use crate::args::{Command, OutputFormat};

/// Client of the lagoonspindle cluster scheduler. Submits, shows and cancels work, and checks files.
#[derive(Debug, FromArgs)]
#[argh(
    example = "lagoonctl --gateway 127.0.0.1:7000 list --team a",
    note = "The environment variable LAGOON_GATEWAY replaces --gateway.",
    error_code(0, "Done."),
    error_code(1, "Refused or failed; the numbered code is printed."),
    error_code(2, "Invalid arguments, or a checked file is invalid."),
    error_code(3, "Unknown whether the work ran; repeat with the same key or ticket.")
)]
pub(crate) struct CtlArgs {
    /// address of a gateway
    #[argh(option, arg_name = "ip:port")]
    pub(crate) gateway: Option<String>,
    /// file that holds the token
    #[argh(option, arg_name = "file")]
    pub(crate) token_file: Option<PathBuf>,
    /// table (default), json or yaml
    #[argh(option, default = "OutputFormat::Table", arg_name = "format")]
    pub(crate) output: OutputFormat,
    /// timeout for a response, such as 70s (default)
    #[argh(option, default = "Millis::new(70_000)", arg_name = "time")]
    pub(crate) timeout: Millis,
    /// print the version and exit
    #[argh(switch)]
    pub(crate) version: bool,
    #[argh(subcommand)]
    pub(crate) command: Option<Command>,
}
