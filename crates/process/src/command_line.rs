//! Command line shared by all daemons.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::{EarlyExit, FromArgs};
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::settings::{self, Checked};
use crate::shutdown::Signal;
use crate::{RunError, exit};

/// Daemon of the lagoonspindle cluster scheduler.
#[derive(Debug, FromArgs)]
struct DaemonArgs {
    /// settings file (YAML)
    #[argh(option, arg_name = "file")]
    settings: Option<PathBuf>,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Parses the arguments of this process. `Err` holds the exit code after the help text or an error has been printed.
pub fn parse<A: FromArgs>(program: &str) -> Result<A, ExitCode> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    A::from_args(&[program], &args).map_err(|exit| print_early_exit(program, &exit))
}

fn print_early_exit(program: &str, exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::from(exit::SUCCESS)
        }
        Err(()) => {
            eprintln!(
                "{}\nRun {program} --help for more information.",
                exit.output
            );
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Runs a daemon: loads its settings, then runs `start` until it returns. Later changes to the settings file take
/// effect at the next start.
pub fn run<T, F, Fut>(program: &str, start: F) -> ExitCode
where
    T: DeserializeOwned + Checked + Clone + Send + Sync + 'static,
    F: FnOnce(T, Signal) -> Fut,
    Fut: Future<Output = Result<(), RunError>>,
{
    run_with_reload(program, |settings: watch::Receiver<Arc<T>>, signal| {
        start(settings.borrow().as_ref().clone(), signal)
    })
}

/// Runs a daemon like [`run`], but passes `start` a receiver that is updated when the settings file changes.
pub fn run_with_reload<T, F, Fut>(program: &str, start: F) -> ExitCode
where
    T: DeserializeOwned + Checked + Send + Sync + 'static,
    F: FnOnce(watch::Receiver<Arc<T>>, Signal) -> Fut,
    Fut: Future<Output = Result<(), RunError>>,
{
    let args: DaemonArgs = match parse(program) {
        Ok(args) => args,
        Err(code) => return code,
    };
    match run_daemon(program, args, start) {
        Ok(()) => ExitCode::from(exit::SUCCESS),
        Err(e) => {
            eprintln!("{program}: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn run_daemon<T, F, Fut>(program: &str, args: DaemonArgs, start: F) -> Result<(), RunError>
where
    T: DeserializeOwned + Checked + Send + Sync + 'static,
    F: FnOnce(watch::Receiver<Arc<T>>, Signal) -> Fut,
    Fut: Future<Output = Result<(), RunError>>,
{
    if args.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let path = args
        .settings
        .ok_or_else(settings::SettingsErrors::missing_argument)?;
    if args.check {
        settings::load::<T>(&path)?;
        println!("{}: valid", path.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| RunError::new("process: can't start the tokio runtime", e))?;
    runtime.block_on(async {
        // Installed first: a signal that arrives before its handler is installed terminates the process.
        let hangup = settings::Hangup::install()?;
        let stop = Signal::install()?;
        let settings = settings::load::<T>(&path)?;
        start(settings::follow(path, settings, hangup), stop).await
    })
}
