//! Randomised runs of a shard and its successive owners, with losses, delays, pauses, crashes and takeovers.
//!
//! The runs in CI use pinned seeds. `LAGOON_SEEDS=1000..2000 cargo test --release -p lagoon-core --test shard_random --
//! --nocapture` runs others and prints the seed that fails.

mod shard_model;

use bolero::generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use lagoon_core::policy::Policy;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shard_model::{Step, World};

const STEPS: usize = 1_500;

fn policy() -> Policy {
    let document = r#"{
        "version": 1,
        "teams": {"t": {"quota": {"cpu": 100000, "memory": 1000000000000}}},
        "services": {"s": {}},
        "retry_budget_percent": 100
    }"#;
    serde_json::from_str(document).unwrap()
}

fn run(seed: u64) {
    let options = Options::default();
    let mut driver = Rng::new(SmallRng::seed_from_u64(seed), &options);
    let mut world = World::new(policy());
    world.step(Step::Claim(0));
    for _ in 0..STEPS {
        let step = Step::generate(&mut driver).expect("the driver has no end");
        world.step(step);
    }
    world.settle();
    assert!(world.runs() > 0, "seed {seed}: nothing ran");
    let unended = world.unended();
    assert!(
        unended.is_empty(),
        "seed {seed}: never ended: {unended:?}\n{}",
        world.describe()
    );
}

/// Announces the seed of a run that fails.
fn run_announced(seed: u64) {
    struct Announce(u64);
    impl Drop for Announce {
        fn drop(&mut self) {
            if std::thread::panicking() {
                eprintln!("failed with seed {}", self.0);
            }
        }
    }
    let announce = Announce(seed);
    run(seed);
    drop(announce);
}

macro_rules! seeds {
    ($($name:ident: $range:expr;)*) => {
        $(
            /// Guards against work that runs in two places, runs after a refusal, runs twice, exceeds a worker, or
            /// never ends.
            #[test]
            fn $name() {
                for seed in $range {
                    run_announced(seed);
                }
            }
        )*
    };
}

seeds! {
    seeds_0_to_9: 0..10;
    seeds_10_to_19: 10..20;
    seeds_20_to_29: 20..30;
    seeds_30_to_39: 30..40;
}

/// Runs the seeds that `LAGOON_SEEDS` names, such as `1000..2000`.
#[test]
fn seeds_from_environment() {
    let Ok(range) = std::env::var("LAGOON_SEEDS") else {
        return;
    };
    let (from, to) = range.split_once("..").expect("a range such as 0..100");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    for seed in from..to {
        run_announced(seed);
    }
}
