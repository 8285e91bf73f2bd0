//! The guarantees of the design page, shown on separate processes under faults.

/// Names each case and runs it while no other one runs.
macro_rules! process_cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $crate::harness::run($body);
            }
        )*
    };
}

#[path = "../harness/mod.rs"]
mod harness;

mod kinds_of_work;
