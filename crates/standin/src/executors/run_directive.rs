use lagoon_core::unit::Millis;

/// Behavior of a fake executor requested by a payload, written `sleep:MS;echo:TEXT`. Both parts are optional.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct RunDirective {
    pub(crate) sleep: Millis,
    pub(crate) echo: Option<String>,
}

impl RunDirective {
    pub(crate) fn parse(payload: &str) -> Self {
        let (sleep, rest) = match payload.strip_prefix("sleep:") {
            Some(rest) => {
                let (time, rest) = rest.split_once(';').unwrap_or((rest, ""));
                (Millis::new(time.parse().unwrap_or_default()), rest)
            }
            None => (Millis::ZERO, payload),
        };
        let echo = rest.strip_prefix("echo:").map(str::to_owned);
        Self { sleep, echo }
    }
}
