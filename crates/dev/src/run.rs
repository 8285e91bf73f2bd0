use std::process::ExitCode;

use lagoon_process::logging::{self, LogSettings};
use lagoon_process::{command_line, exit, shutdown::Signal};

use crate::cluster::Cluster;
use crate::dev_args::DevArgs;
use crate::session;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Entry point of `lagoon-dev`.
pub fn run() -> ExitCode {
    let args: DevArgs = match command_line::parse("lagoon-dev") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("lagoon-dev: can't start the tokio runtime: {e}");
            return ExitCode::from(exit::FAILED);
        }
    };
    match runtime.block_on(start(&args)) {
        Ok(()) => ExitCode::from(exit::SUCCESS),
        Err(e) => {
            eprintln!("lagoon-dev: {e}");
            ExitCode::from(exit::FAILED)
        }
    }
}

async fn start(args: &DevArgs) -> Result<(), BoxError> {
    let level = if args.once { "warn" } else { "info" };
    let log = LogSettings {
        level: level.to_owned(),
        ..LogSettings::default()
    };
    logging::start(&log, "lagoon-dev");
    let cluster = Cluster::spawn().await?;
    cluster.ready().await?;
    if args.once {
        let result = session::run_session(&cluster).await;
        cluster.stop().await;
        return result;
    }
    println!("{}", cluster.describe());
    Signal::install()?.wait().await;
    cluster.stop().await;
    Ok(())
}
