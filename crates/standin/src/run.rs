use std::io::{self, Write};
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use lagoon_core::id::{FailureDomain, ServiceName};
use lagoon_core::unit::{Millis, Rate, Resources};

use crate::platform::{PlatformHandle, PlatformSettings};
use crate::store::StoreSettings;

const EXIT_USAGE: u8 = 2;

/// Runs a fake platform on loopback and prints its addresses as one line of JSON.
#[derive(Debug, FromArgs)]
struct Args {
    /// failure domain; may be given several times
    #[argh(option)]
    domain: Vec<FailureDomain>,
    /// workers in each failure domain
    #[argh(option, default = "4")]
    workers: u32,
    /// racks in each failure domain
    #[argh(option, default = "2")]
    racks: u32,
    /// executors in each failure domain
    #[argh(option, default = "2")]
    executors: u32,
    /// service of the executors
    #[argh(option)]
    service: Option<ServiceName>,
    /// slots of each executor
    #[argh(option, default = "8")]
    slots: u32,
    /// resources of each worker, such as cpu=16,memory=32GiB
    #[argh(option)]
    capacity: Option<Resources>,
    /// factor from a task's declared to its actual run time
    #[argh(option, default = "1.0")]
    run_time_factor: f64,
    /// lag of the host list, such as 2s
    #[argh(option, default = "Millis::ZERO")]
    host_list_lag: Millis,
    /// limit of writes to the store, such as 500/s
    #[argh(option, default = "Rate::per_second(500)")]
    writes: Rate,
    /// limit of reads from the store, such as 2000/s
    #[argh(option, default = "Rate::per_second(2_000)")]
    reads: Rate,
}

impl Args {
    fn into_settings(self) -> PlatformSettings {
        let default = PlatformSettings::default();
        let domains = match self.domain.is_empty() {
            true => default.domains,
            false => self.domain,
        };
        PlatformSettings {
            domains,
            workers: self.workers,
            racks: self.racks,
            executors: self.executors,
            service: self.service.unwrap_or(default.service),
            slots: self.slots,
            capacity: self.capacity.unwrap_or(default.capacity),
            run_time_factor: self.run_time_factor,
            host_list_lag: self.host_list_lag,
            store: StoreSettings {
                writes: self.writes,
                reads: self.reads,
                ..StoreSettings::default()
            },
            connections: default.connections,
        }
    }
}

/// Runs a fake platform until the process is interrupted. The first element of `args` is the name of the program.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.into_iter().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = args.split_first().unwrap_or((&"lagoon-standin", &[]));
    let args = match Args::from_args(&[*name], rest) {
        Ok(args) => args,
        Err(EarlyExit { output, status }) => {
            return match status {
                Ok(()) => {
                    println!("{output}");
                    ExitCode::SUCCESS
                }
                Err(()) => {
                    eprintln!("{output}");
                    EXIT_USAGE.into()
                }
            };
        }
    };
    match serve(args.into_settings()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: PlatformSettings) -> io::Result<()> {
    tracing_subscriber::fmt().with_writer(io::stderr).init();
    let platform = PlatformHandle::bind(settings).await?;
    let line = serde_json::to_string(&platform.addresses())?;
    let mut stdout = io::stdout();
    writeln!(stdout, "{line}")?;
    stdout.flush()?;
    tokio::signal::ctrl_c().await?;
    platform.stop().await;
    Ok(())
}
