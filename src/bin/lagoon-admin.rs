//! Entry of the operators.

fn main() -> std::process::ExitCode {
    lagoon_admin::main()
}
