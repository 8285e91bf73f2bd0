use std::time::Duration;

/// How a task behaves, as its payload says: `ms=300` for its run time, `fail` to end badly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Payload {
    pub(super) run_time: Duration,
    pub(super) fails: bool,
}

impl Payload {
    pub(super) fn parse(text: &str) -> Self {
        let words: Vec<&str> = text.split_whitespace().collect();
        let millis = words
            .iter()
            .find_map(|word| word.strip_prefix("ms=")?.parse().ok());
        Self {
            run_time: Duration::from_millis(millis.unwrap_or(50)),
            fails: words.contains(&"fail"),
        }
    }
}
