//! Fake platform.

fn main() -> std::process::ExitCode {
    lagoon_standin::run(std::env::args())
}
