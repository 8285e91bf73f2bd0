/// Defines the id of an item that the owner of a shard numbers, written `PREFIX:domain:shard:epoch:sequence`.
macro_rules! numbered_type {
    ($(#[$meta:meta])* $name:ident, $prefix:literal, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name {
            shard: $crate::id::ShardId,
            epoch: $crate::id::Epoch,
            sequence: $crate::id::Sequence,
        }

        impl $name {
            /// Creates the id of item `sequence` of the owner of `shard` at `epoch`.
            pub fn new(
                shard: $crate::id::ShardId,
                epoch: $crate::id::Epoch,
                sequence: $crate::id::Sequence,
            ) -> Self {
                Self {
                    shard,
                    epoch,
                    sequence,
                }
            }

            /// Returns the shard whose owner created the item.
            pub fn shard(&self) -> &$crate::id::ShardId {
                &self.shard
            }

            /// Returns the epoch of the owner that created the item.
            pub fn epoch(&self) -> $crate::id::Epoch {
                self.epoch
            }

            /// Returns the sequence number within the epoch.
            pub fn sequence(&self) -> $crate::id::Sequence {
                self.sequence
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}:{}:{}:{}", $prefix, self.shard, self.epoch, self.sequence)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let invalid = || $crate::id::ParseIdError::new($kind, text);
                let rest = text.strip_prefix($prefix).and_then(|rest| rest.strip_prefix(':'));
                let (rest, sequence) = rest.and_then(|rest| rest.rsplit_once(':')).ok_or_else(invalid)?;
                let (shard, epoch) = rest.rsplit_once(':').ok_or_else(invalid)?;
                Ok(Self {
                    shard: shard.parse().map_err(|_| invalid())?,
                    epoch: epoch.parse().map_err(|_| invalid())?,
                    sequence: sequence.parse().map_err(|_| invalid())?,
                })
            }
        }

        text_serde!($name);
    };
}
