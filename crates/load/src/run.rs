use std::process::ExitCode;

use lagoon_process::{command_line, exit};

use crate::args::Args;
use crate::plot;
use crate::report::{ScenarioReport, print};
use crate::scenario::{Options, Size, names, run_scenario};

const PROGRAM: &str = "lagoon-load";

/// Runs the scenarios that the command line names and prints their results.
pub fn run() -> ExitCode {
    let args: Args = match command_line::parse(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    if args.scenario == "list" {
        names().for_each(|(name, about)| println!("{name:<14} {about}"));
        return ExitCode::from(exit::SUCCESS);
    }
    let options = Options {
        seed: args.seed,
        size: if args.small { Size::Small } else { Size::Full },
    };
    let all = names().map(|(name, _)| name);
    let wanted = all.filter(|name| args.scenario == "all" || args.scenario == *name);
    let mut reports: Vec<ScenarioReport> = Vec::new();
    for name in wanted {
        let found = run_scenario(name, &options).unwrap_or_default();
        if !args.json {
            found.iter().for_each(print);
        }
        reports.extend(found);
    }
    if reports.is_empty() {
        eprintln!("{PROGRAM}: there is no scenario {:?}", args.scenario);
        return ExitCode::from(exit::USAGE);
    }
    if args.json {
        match serde_json::to_string_pretty(&reports) {
            Ok(text) => println!("{text}"),
            Err(e) => eprintln!("{PROGRAM}: can't print the results: {e}"),
        }
    }
    if let Some(dir) = &args.plots
        && let Err(e) = plot::draw(dir, &reports)
    {
        eprintln!("{PROGRAM}: can't draw plots in {}: {e}", dir.display());
        return ExitCode::FAILURE;
    }
    ExitCode::from(exit::SUCCESS)
}
