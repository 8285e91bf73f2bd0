//! A shard among other owners: handover, adoption of workers, and fencing.

mod adoption;
mod fencing;
mod handover;
mod model;
