/// Defines the fields of one part of the policy that a command may set, each with its type and expected form.
macro_rules! change_type {
    (
        $(#[$meta:meta])* $name:ident {
            $($(#[$doc:meta])* $variant:ident($ty:ty) = $field:literal, $form:literal;)*
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

            /// Returns the expected form of the field's value.
            pub(crate) fn form(field: &str) -> Option<&'static str> {
                match field { $($field => Some($form),)* _ => None }
            }

            /// Reads the value of a field.
            pub(crate) fn read(field: &str, text: &str) -> Option<Self> {
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
