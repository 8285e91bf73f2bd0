use lagoon_core::unit::{Accelerators, Bytes, Millicores, Resources};
use lagoon_process::settings::text;
use serde::{Deserialize, Serialize, Serializer};

/// JSON form of resources: strings with units, so that a number can't be mistaken for another unit.
#[derive(Debug, Clone, Copy, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ResourcesBody {
    #[serde(deserialize_with = "text", serialize_with = "display")]
    cpu: Millicores,
    #[serde(deserialize_with = "text", serialize_with = "display")]
    memory: Bytes,
    #[serde(default)]
    accelerators: Accelerators,
}

fn display<T: ToString, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&value.to_string())
}

impl From<ResourcesBody> for Resources {
    fn from(body: ResourcesBody) -> Self {
        Resources::new(body.cpu, body.memory).with_accelerators(body.accelerators)
    }
}

impl From<Resources> for ResourcesBody {
    fn from(resources: Resources) -> Self {
        Self {
            cpu: resources.cpu,
            memory: resources.memory,
            accelerators: resources.accelerators,
        }
    }
}
