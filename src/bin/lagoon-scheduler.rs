//! Daemon that owns shards, places their work and renews the leases on their workers.

fn main() -> std::process::ExitCode {
    lagoon_scheduler::run()
}
