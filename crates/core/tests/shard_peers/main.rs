//! A shard among other owners: handover, adoption of workers, fencing, and reservations between shards.

mod adoption;
mod borrowing;
mod fencing;
mod handover;
mod lending;
mod model;
mod refused_starts;
