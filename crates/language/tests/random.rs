//! Random texts and statements from bolero's generators with fixed seeds. Plain `check!` seeds itself from the system,
//! so a failure would not be reproducible.

use bolero::generator::bolero_generator::driver::{Options, Rng as RngDriver};
use bolero::generator::bolero_generator::{ValueGenerator, produce};
use lagoon_language::{complete, parse};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: std::ops::Range<u64> = 0..4_000;
const MAX_STEPS: usize = 40;

/// Candidates for positions where the grammar expects a value.
const VALUES: &[&str] = &[
    "w:cluj:3:7:15",
    "cluj:3",
    "h1",
    "red",
    "5",
    "0",
    "18446744073709551615",
    "5s",
    "90061s",
    "0ms",
    "0.3MB",
    "2GiB",
    "9007199254740992B",
    "1.5",
    "1500m",
    "20%",
    "255%",
    "true",
    "restartable",
    "\"a \\\" b\"",
    "\"\"",
    "and",
    "cpu=4,memory=5GB",
    "accelerators=2",
    "services.a.b.queue_limit",
    "services.where.journal",
    "\"\u{219}i\"",
];

fn driver(seed: u64) -> RngDriver<SmallRng> {
    let options = Options::default().with_max_len(1 << 16);
    RngDriver::new(SmallRng::seed_from_u64(seed), &options)
}

/// Checks that the canonical form of a valid statement parses to the same statement. Returns true if `text` is valid.
fn check(text: &str) -> bool {
    complete(text);
    match parse(text) {
        Ok(statement) => {
            let printed = statement.to_string();
            assert_eq!(
                parse(&printed),
                Ok(statement),
                "{text:?} prints {printed:?}"
            );
            true
        }
        Err(e) => {
            assert!(e.column() <= text.chars().count() + 1, "{text:?}: {e}");
            false
        }
    }
}

/// Generates a statement by appending words that the grammar expects.
fn generate_statement(driver: &mut RngDriver<SmallRng>) -> String {
    let mut text = String::new();
    for _ in 0..MAX_STEPS {
        let choices: Vec<String> = match parse(&text) {
            Ok(_) if produce::<u8>().generate(driver).unwrap() < 100 => break,
            Ok(_) => {
                let words = complete(&format!("{text} "));
                let words = words.iter().filter(|word| !word.is_hint());
                words.map(|word| word.text().to_owned()).collect()
            }
            Err(e) => e.expected().to_vec(),
        };
        if choices.is_empty() {
            break;
        }
        let choice =
            &choices[usize::from(produce::<u16>().generate(driver).unwrap()) % choices.len()];
        let word = match choice.strip_prefix('`') {
            Some(word) => word.trim_end_matches('`').to_owned(),
            None if choice.contains(' ') || choice.contains('.') => value_for(&text, driver),
            None => choice.clone(),
        };
        text = format!("{text} {word}");
    }
    text
}

/// Returns a value from `VALUES` that the grammar accepts at the end of `text`, or an empty string if there is none.
fn value_for(text: &str, driver: &mut RngDriver<SmallRng>) -> String {
    let accepted = |value: &&&str| {
        let longer = format!("{text} {value}");
        parse(&longer).is_ok_and(|_| true)
            || parse(&longer).is_err_and(|e| e.column() > longer.chars().count())
    };
    let fitting: Vec<&&str> = VALUES.iter().filter(accepted).collect();
    let index = usize::from(produce::<u16>().generate(driver).unwrap());
    fitting
        .get(index % fitting.len().max(1))
        .map_or(String::new(), |value| (**value).to_owned())
}

macro_rules! from_seeds {
    ($($(#[$doc:meta])* $name:ident: $check:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                for seed in SEEDS {
                    let check: fn(&mut RngDriver<SmallRng>) = $check;
                    check(&mut driver(seed));
                }
            }
        )*
    };
}

from_seeds! {
    /// Guards against a panic on arbitrary text.
    any_text: |driver| {
        let text = produce::<String>().generate(driver).unwrap();
        check(&text);
    };
    /// Guards against a panic on printable ASCII, which gets further into the parser than arbitrary Unicode.
    printable_text: |driver| {
        let bytes = produce::<Vec<u8>>().generate(driver).unwrap();
        let text: String = bytes.iter().map(|byte| char::from(byte % 95 + 32)).collect();
        check(&text);
    };
    /// Guards against a statement whose canonical form parses to a different statement.
    statements: |driver| {
        let text = generate_statement(driver);
        check(&text);
    };
    /// Guards against a panic on a statement with one random character replaced.
    broken_statements: |driver| {
        let mut chars: Vec<char> = generate_statement(driver).chars().collect();
        let index = usize::from(produce::<u16>().generate(driver).unwrap()) % chars.len().max(1);
        if let Some(c) = chars.get_mut(index) {
            *c = char::from(produce::<u8>().generate(driver).unwrap() % 95 + 32);
        }
        check(&chars.into_iter().collect::<String>());
    };
}

/// Guards against a generator that rarely builds a valid statement, which would make the tests above ineffective.
#[test]
fn most_generated_statements_are_valid() {
    let parsed = SEEDS
        .filter(|seed| check(&generate_statement(&mut driver(*seed))))
        .count();
    let all = SEEDS.count();
    assert!(
        parsed * 2 > all,
        "{parsed} of {all} generated statements are valid"
    );
}
