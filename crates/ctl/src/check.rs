use std::io::Write;
use std::path::Path;

use lagoon_core::ResultCode;
use lagoon_core::policy::Policy;
use lagoon_gateway::GatewaySettings;
use lagoon_node::NodeSettings;
use lagoon_process::exit;
use lagoon_process::reference::Kind;
use lagoon_process::settings::{SettingsErrors, load};
use lagoon_scheduler::SchedulerSettings;

use crate::args::CheckArgs;
use crate::command_error::CommandError;

/// Validates a file with the same type that the daemon loads it into.
pub(crate) fn check(args: &CheckArgs, out: &mut dyn Write) -> Result<u8, CommandError> {
    check_file(args.kind, &args.file).map_err(CommandError::InvalidFile)?;
    let _ = writeln!(out, "{}: valid", args.file.display());
    Ok(exit::SUCCESS)
}

fn check_file(kind: Kind, file: &Path) -> Result<(), SettingsErrors> {
    match kind {
        Kind::Gateway => load::<GatewaySettings>(file).map(drop),
        Kind::Scheduler => load::<SchedulerSettings>(file).map(drop),
        Kind::Node => load::<NodeSettings>(file).map(drop),
        Kind::Policy => load::<Policy>(file)
            .map(drop)
            .map_err(|e| e.with_code(ResultCode::InvalidPolicy)),
    }
}
