/// What the payload of a task asks a fake worker to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Directive {
    /// End successfully with this output.
    Output(String),
    /// Run and end with an error.
    Fail,
    /// Don't start.
    FailStart,
}

impl Directive {
    /// Reads `fail`, `fail-start` or `echo:TEXT`; any other payload ends with `done`.
    pub(crate) fn parse(payload: &str) -> Self {
        match payload {
            "fail" => Self::Fail,
            "fail-start" => Self::FailStart,
            _ => {
                let text = payload.strip_prefix("echo:").unwrap_or("done");
                Self::Output(text.to_owned())
            }
        }
    }
}
