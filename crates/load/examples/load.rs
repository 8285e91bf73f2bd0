//! Trial.
fn main() -> std::process::ExitCode {
    lagoon_load::run()
}
