//! Daemon that accepts jobs on the users' platform and places them on its executors.

fn main() -> std::process::ExitCode {
    lagoon_node::run()
}
