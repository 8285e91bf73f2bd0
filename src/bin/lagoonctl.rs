//! Command-line client of the callers' API.

fn main() -> std::process::ExitCode {
    lagoon_ctl::main()
}
