//! Development cluster in one process.

fn main() {}
