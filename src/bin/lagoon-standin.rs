//! Fake platform for tests and trials.

fn main() -> std::process::ExitCode {
    lagoon_standin::run(std::env::args())
}
