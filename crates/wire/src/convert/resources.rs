use lagoon_core::unit::{Accelerators, Bytes, Millicores, Resources};

use crate::v1;

/// Converts resources to their message.
pub fn resources_to_wire(resources: &Resources) -> v1::Resources {
    v1::Resources {
        cpu_millicores: resources.cpu.get(),
        memory_bytes: resources.memory.get(),
        accelerators: resources.accelerators.get(),
    }
}

/// Converts resources from their message.
pub fn resources_from_wire(message: &v1::Resources) -> Resources {
    Resources::new(
        Millicores::new(message.cpu_millicores),
        Bytes::new(message.memory_bytes),
    )
    .with_accelerators(Accelerators::new(message.accelerators))
}
