/// Defines a newtype over an integer that serves as an id, version or sequence number.
#[macro_export]
macro_rules! counter_type {
    ($(#[$meta:meta])* $name:ident, $int:ty, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// Creates a value from its integer.
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// Returns the integer.
            pub const fn get(self) -> $int {
                self.0
            }

            /// Returns the next higher value.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text.parse() {
                    Ok(value) => Ok(Self(value)),
                    Err(_) => Err($crate::id::ParseIdError::new($kind, text)),
                }
            }
        }
    };
}
