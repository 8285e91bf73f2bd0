//! Competing owners of one journal on a simulated store that loses and delays answers, from fixed seeds.

#[path = "journal_model/mod.rs"]
mod journal_model;

use journal_model::World;

const STEPS: usize = 6_000;

macro_rules! seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(
            /// Guards against an entry that was reported as durable but is missing or duplicated after takeovers, and
            /// against an entry that was reported as not written but is present.
            #[test]
            fn $name() {
                let mut world = World::new($seed);
                for _ in 0..STEPS {
                    world.step();
                }
                world.check();
            }
        )*
    };
}

seeds! {
    takeovers_seed_1: 1;
    takeovers_seed_2: 2;
    takeovers_seed_3: 3;
    takeovers_seed_4: 4;
    takeovers_seed_5: 5;
    takeovers_seed_6: 6;
    takeovers_seed_7: 7;
    takeovers_seed_8: 8;
    takeovers_seed_9: 9;
    takeovers_seed_10: 10;
}
