//! Tests of the guarantees of the design page, with separate processes under injected faults.

/// Defines a test for each case; the tests run one at a time.
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
#[expect(
    dead_code,
    unused_imports,
    reason = "the proofs need neither nodes nor process ids"
)]
mod harness;

mod domain_faults;
mod g1_capacity;
mod g2_one_place;
mod g3_whole_answers;
mod g4_accurate_refusals;
mod g5_at_most_once;
mod g6_leaving_hosts;
mod g7_graceful_stop;
mod g8_policy;
mod kinds_of_work;
mod measure;
mod store_faults;
