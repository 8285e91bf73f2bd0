//! Command-line client of the callers' API.
//!
//! The exit code tells scripts what they may do next: 0 done, 1 refused or failed, 2 wrong usage or a checked file that is not valid, 3 not known. After 3, a
//! repetition with the printed idempotency key is safe:
//!
//! ```text
//! lagoonctl --gateway 127.0.0.1:7000 submit batch --team a --cpu 500m --memory 2GiB --run 10m
//! lagoonctl --gateway 127.0.0.1:7000 list --team a --state waiting
//! ```

mod args;
mod check;
mod client;
mod commands;
mod explain;
mod failure;
mod inspect;
mod key;
mod render;

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use lagoon_process::exit;

use crate::args::CtlArgs;

const PROGRAM: &str = "lagoonctl";
const GATEWAY_VARIABLE: &str = "LAGOON_GATEWAY";

/// Runs the program `lagoonctl`.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let gateway = std::env::var(GATEWAY_VARIABLE).ok();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("{PROGRAM}: can't start the runtime: {e}");
            return ExitCode::from(exit::FAILED);
        }
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let code = runtime.block_on(run(&args, gateway.as_deref(), &mut out, &mut err));
    ExitCode::from(code)
}

/// Runs one command and returns the exit code. `gateway` is the address to use unless the arguments name one.
pub async fn run(
    args: &[&str],
    gateway: Option<&str>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let args = match CtlArgs::from_args(&[PROGRAM], args) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            let _ = writeln!(out, "{}", early.output);
            return exit::SUCCESS;
        }
        Err(early) => {
            let _ = writeln!(
                err,
                "{}\nRun {PROGRAM} --help for more information.",
                early.output
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
        Err(failure) => {
            let _ = writeln!(err, "{PROGRAM}: {failure}");
            failure.exit_code()
        }
    }
}
