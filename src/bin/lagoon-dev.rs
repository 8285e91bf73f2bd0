//! Complete cluster in one process on loopback, for development.

fn main() -> std::process::ExitCode {
    lagoon_dev::run()
}
