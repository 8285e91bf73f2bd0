//! Daemon that serves the operators' API.

fn main() -> std::process::ExitCode {
    lagoon_admin::main()
}
