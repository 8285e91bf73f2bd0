/// Implements the conversions with which serde reads and writes a type as its `Display` text.
#[macro_export]
macro_rules! text_serde {
    ($name:ident) => {
        impl TryFrom<String> for $name {
            type Error = $crate::id::ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}
