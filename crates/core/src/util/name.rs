/// Defines a newtype over a validated name: 1 to 64 characters of `a-z A-Z 0-9 . _ -`.
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if !$crate::id::is_valid_name(text) {
                    return Err($crate::id::ParseIdError::new($kind, text));
                }
                Ok(Self(text.into()))
            }
        }

        $crate::text_serde!($name);
    };
}
