/// Names each case and the failure that it guards against.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $($(#[$meta])* #[test] fn $name() $body)*
    };
}
