use std::process::ExitCode;

use lagoon_process::{command_line, exit};

use crate::args::Args;
use crate::plot;
use crate::report::{ScenarioReport, print};
use crate::scenario::{Options, Size, names, run_scenario};

const PROGRAM: &str = "lagoon-load";

/// Runs the scenarios selected on the command line and prints their results.
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
    let selected = all.filter(|name| args.scenario == "all" || args.scenario == *name);
    let mut reports: Vec<ScenarioReport> = Vec::new();
    for name in selected {
        let scenario_reports = run_scenario(name, &options).unwrap_or_default();
        if !args.json {
            scenario_reports.iter().for_each(print);
        }
        reports.extend(scenario_reports);
    }
    if reports.is_empty() {
        eprintln!(
            "{PROGRAM}: unknown scenario {:?}; \"--scenario list\" prints all names",
            args.scenario
        );
        return ExitCode::from(exit::USAGE);
    }
    if args.json {
        match serde_json::to_string_pretty(&reports) {
            Ok(text) => println!("{text}"),
            Err(e) => eprintln!("{PROGRAM}: can't encode the results as JSON: {e}"),
        }
    }
    if let Some(dir) = &args.plots
        && let Err(e) = plot::draw(dir, &reports)
    {
        eprintln!("{PROGRAM}: can't write plots to {}: {e}", dir.display());
        return ExitCode::FAILURE;
    }
    ExitCode::from(exit::SUCCESS)
}
