/// Defines the settable fields of one section of the policy, each with its type and a description of its value.
macro_rules! change_type {
    (
        $(#[$meta:meta])* $name:ident {
            $($(#[$doc:meta])* $variant:ident($ty:ty) = $field:literal, $description:literal;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum $name {
            $($(#[$doc])* $variant($ty),)*
        }

        impl $name {
            /// Names of the fields.
            pub const FIELDS: &[&str] = &[$($field,)*];

            /// Returns the name of the field.
            pub fn field(&self) -> &'static str {
                match self { $(Self::$variant(_) => $field,)* }
            }

            /// Returns the description of the field's value.
            pub(crate) fn description(field: &str) -> Option<&'static str> {
                match field { $($field => Some($description),)* _ => None }
            }

            /// Parses the value of a field.
            pub(crate) fn parse(field: &str, text: &str) -> Option<Self> {
                match field { $($field => text.parse().ok().map(Self::$variant),)* _ => None }
            }
        }

        /// Prints the value.
        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                match self { $(Self::$variant(value) => value.fmt(f),)* }
            }
        }
    };
}
