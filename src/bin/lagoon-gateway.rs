//! Daemon that serves the callers' API.

fn main() -> std::process::ExitCode {
    lagoon_gateway::main()
}
