use std::fmt;

use crate::syntax::Field;

macro_rules! tables {
    ($($(#[$meta:meta])* $variant:ident = $name:literal { $($field:ident: $kind:ident,)* })*) => {
        /// A table that `show` can list.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Table {
            $($(#[$meta])* $variant,)*
        }

        impl Table {
            /// All tables.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the keyword.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the fields in column order.
            pub const fn fields(self) -> &'static [Field] {
                match self {
                    $(Self::$variant => {
                        const FIELDS: &[Field] = &[
                            $(Field::new(stringify!($field), $crate::syntax::ValueKind::$kind),)*
                        ];
                        FIELDS
                    })*
                }
            }
        }
    };
}

tables! {
    /// Live pieces of work.
    Work = "work" {
        work: Text, state: Text, kind: Text, team: Text, priority: Number, age: Duration, running: Duration,
        cpu: Cores, memory: Size, accelerators: Number, members: Number, shard: Text, domain: Text,
        service: Text, workers: Text, reason: Text,
    }
    /// Workers, as the owners of their shards know them.
    Workers = "workers" {
        worker: Text, host: Text, rack: Text, domain: Text, shard: Text, state: Text, epoch: Number,
        cpu: Cores, memory: Size, accelerators: Number, claimed_cpu: Cores, claimed_memory: Size,
        observed_cpu: Cores, observed_memory: Size, closed: Text,
    }
    /// Executors of services.
    Executors = "executors" {
        executor: Text, service: Text, worker: Text, domain: Text, shard: Text, slots: Number,
        in_use: Number,
    }
    /// Teams listed in the policy.
    Teams = "teams" {
        team: Text, weight: Number, queue_limit: Number, cpu: Cores, memory: Size,
        accelerators: Number,
    }
    /// Shards that have an owner.
    Shards = "shards" {
        shard: Text, domain: Text, state: Text, owner: Text, epoch: Number, queued: Number,
        running: Number, unresolved: Number, tickets: Number, unrecorded: Number, workers: Number,
        executors: Number,
    }
    /// Values of the policy.
    Policy = "policy" {
        key: Text, value: Text,
    }
    /// Processes known from heartbeats.
    Processes = "processes" {
        process: Text, role: Text, domain: Text, address: Text, policy_version: Number,
        shards: Number, age: Duration,
    }
    /// Commands sent by operators.
    Changes = "changes" {
        at: Text, age: Duration, operator: Text, command: Text, text: Text, preview: Text, before: Text,
        after: Text, result: Text, late: Text,
    }
}

impl Table {
    /// Returns the field named `name`, or `None` if the table has no such field.
    pub fn field(self, name: &str) -> Option<Field> {
        let mut fields = self.fields().iter();
        fields.find(|field| field.name() == name).copied()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
