//! `lagoonctl`, the command-line client for callers and operators.
//!
//! Exit codes: 0 for success, 1 if the command was refused or failed, 2 for invalid arguments or a checked file that is
//! invalid, and 3 if the outcome is unknown. After 3, it is safe to repeat the command with the printed idempotency key:
//!
//! ```text
//! lagoonctl --gateway 127.0.0.1:7000 submit batch --team a --cpu 500m --memory 2GiB --run 10m
//! lagoonctl --gateway 127.0.0.1:7000 list --team a --state waiting
//! ```

mod args;
mod check;
mod client;
mod command_error;
mod commands;
mod explain;
mod inspect;
mod key;
mod render;

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use lagoon_process::exit;

use crate::args::CtlArgs;

const PROGRAM: &str = "lagoonctl";
const GATEWAY_ENV: &str = "LAGOON_GATEWAY";

/// Runs the program `lagoonctl`.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let gateway = std::env::var(GATEWAY_ENV).ok();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{PROGRAM}: failed to start the async runtime: {e}");
            return ExitCode::from(exit::FAILED);
        }
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let code = runtime.block_on(run(&args, gateway.as_deref(), &mut out, &mut err));
    ExitCode::from(code)
}

/// Runs one command and returns the exit code. `gateway` is the default address, used if the arguments name none.
pub async fn run(
    args: &[&str],
    gateway: Option<&str>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let args = match CtlArgs::from_args(&[PROGRAM], args) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            let _ = writeln!(out, "{}", early_exit.output);
            return exit::SUCCESS;
        }
        Err(early_exit) => {
            let _ = writeln!(
                err,
                "{}\nRun {PROGRAM} --help for more information.",
                early_exit.output
            );
            return exit::USAGE;
        }
    };
    if args.version {
        let _ = writeln!(out, "{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return exit::SUCCESS;
    }
    match commands::run(&args, gateway, out, err).await {
        Ok(code) => code,
        Err(e) => {
            let _ = writeln!(err, "{PROGRAM}: {e}");
            e.exit_code()
        }
    }
}
