/// Defines a newtype over an unsigned amount with checked and saturating arithmetic. `Display` and `FromStr` are
/// written by hand for each unit.
macro_rules! quantity_type {
    ($(#[$meta:meta])* $name:ident, $int:ty) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// No amount at all.
            pub const ZERO: Self = Self(0);

            /// Wraps a raw amount.
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// Returns the raw amount.
            pub const fn get(self) -> $int {
                self.0
            }

            /// Adds; `None` on overflow.
            pub const fn checked_add(self, other: Self) -> Option<Self> {
                match self.0.checked_add(other.0) {
                    Some(sum) => Some(Self(sum)),
                    None => None,
                }
            }

            /// Subtracts; `None` if the result would be negative.
            pub const fn checked_sub(self, other: Self) -> Option<Self> {
                match self.0.checked_sub(other.0) {
                    Some(rest) => Some(Self(rest)),
                    None => None,
                }
            }

            /// Adds; stops at the largest amount.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts; stops at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}
