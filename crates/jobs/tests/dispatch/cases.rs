/// Defines one test per named case. The doc comment of a case says which failure it guards against.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $($(#[$meta])* #[test] fn $name() $body)*
    };
}
