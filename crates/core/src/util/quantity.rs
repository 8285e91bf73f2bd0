/// Defines a newtype over an unsigned amount with checked and saturating arithmetic. Each unit implements `Display` and
/// `FromStr` itself.
macro_rules! quantity_type {
    ($(#[$meta:meta])* $name:ident, $int:ty) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($int);

        impl $name {
            /// The zero amount.
            pub const ZERO: Self = Self(0);

            /// Creates an amount from its integer.
            pub const fn new(value: $int) -> Self {
                Self(value)
            }

            /// Returns the integer.
            pub const fn get(self) -> $int {
                self.0
            }

            /// Returns the sum, or `None` on overflow.
            pub const fn checked_add(self, other: Self) -> Option<Self> {
                match self.0.checked_add(other.0) {
                    Some(sum) => Some(Self(sum)),
                    None => None,
                }
            }

            /// Returns the difference, or `None` if it would be negative.
            pub const fn checked_sub(self, other: Self) -> Option<Self> {
                match self.0.checked_sub(other.0) {
                    Some(rest) => Some(Self(rest)),
                    None => None,
                }
            }

            /// Returns the sum, or the maximum on overflow.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Returns the difference, or zero if it would be negative.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}
