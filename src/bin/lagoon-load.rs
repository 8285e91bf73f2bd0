//! Load tests and experiments.

fn main() -> std::process::ExitCode {
    lagoon_load::run()
}
