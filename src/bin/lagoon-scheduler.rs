//! Owns shards, places their work and keeps the leases on their workers.

fn main() -> std::process::ExitCode {
    lagoon_scheduler::run()
}
