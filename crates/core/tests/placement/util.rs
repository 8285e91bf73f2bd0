use lagoon_core::id::WorkerId;
use lagoon_core::placement::Fleet;
use lagoon_core::unit::{Accelerators, Bytes, Millicores, Resources};
use lagoon_core::work::{PlacementPolicy, Spread};

pub(crate) fn res(cpu: u64, memory: u64, accelerators: u32) -> Resources {
    let amounts = Resources::new(Millicores::new(cpu), Bytes::new(memory));
    amounts.with_accelerators(Accelerators::new(accelerators))
}

pub(crate) fn id(number: usize) -> WorkerId {
    format!("w{number}").parse().unwrap()
}

pub(crate) fn add(fleet: &mut Fleet, number: usize, rack: usize, capacity: Resources) {
    let rack = format!("r{rack}").parse().unwrap();
    fleet.upsert_worker(id(number), rack, capacity);
}

/// Returns four workers with (cpu, memory) of (10, 10) each, two in each of two racks.
pub(crate) fn small_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    for number in 0..4 {
        add(&mut fleet, number, number / 2, res(10, 10, 0));
    }
    fleet
}

pub(crate) fn anywhere() -> PlacementPolicy {
    PlacementPolicy::default()
}

pub(crate) fn over_racks() -> PlacementPolicy {
    PlacementPolicy {
        spread: Spread::Racks,
        ..PlacementPolicy::default()
    }
}
