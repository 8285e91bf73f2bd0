//! Randomised runs of a shard and its successive owners, with message loss, delays, pauses, crashes and takeovers.
//!
//! The runs in CI use fixed seeds. `LAGOON_SEEDS=1000..2000 cargo test --release -p lagoon-core --test shard_random --
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
        let step = Step::generate(&mut driver).expect("the driver must not run out of input");
        world.step(step);
    }
    world.run_to_completion();
    assert!(world.runs() > 0, "seed {seed}: nothing ran");
    let unfinished = world.unfinished();
    assert!(
        unfinished.is_empty(),
        "seed {seed}: work that never ended: {unfinished:?}\n{}",
        world.describe()
    );
}

/// Runs a seed and prints it if the run fails.
fn run_reporting_seed(seed: u64) {
    struct ReportSeed(u64);
    impl Drop for ReportSeed {
        fn drop(&mut self) {
            if std::thread::panicking() {
                eprintln!("failed with seed {}", self.0);
            }
        }
    }
    let report = ReportSeed(seed);
    run(seed);
    drop(report);
}

macro_rules! seeds {
    ($($name:ident: $range:expr;)*) => {
        $(
            /// Guards against work that runs in two places, runs after a refusal, runs twice, exceeds the capacity of a
            /// worker, or never ends.
            #[test]
            fn $name() {
                for seed in $range {
                    run_reporting_seed(seed);
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

/// Runs the seeds in the range `LAGOON_SEEDS`, such as `1000..2000`.
#[test]
fn seeds_from_environment() {
    let Ok(range) = std::env::var("LAGOON_SEEDS") else {
        return;
    };
    let (from, to) = range.split_once("..").expect("a range such as 0..100");
    let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
    for seed in from..to {
        run_reporting_seed(seed);
    }
}
