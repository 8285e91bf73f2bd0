//! Entry of the callers.

fn main() -> std::process::ExitCode {
    lagoon_gateway::main()
}
