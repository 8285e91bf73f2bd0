use std::time::Duration;

/// Behavior of a task requested by its payload: `ms=300` sets the run time, `fail` makes the task fail.
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
