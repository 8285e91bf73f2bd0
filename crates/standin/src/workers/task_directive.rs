/// Behavior of a fake worker requested by the payload of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskDirective {
    /// Succeed with this output.
    Output(String),
    /// Run and fail with an error.
    Fail,
    /// Fail to start.
    FailStart,
}

impl TaskDirective {
    /// Parses `fail`, `fail-start` or `echo:TEXT`. Any other payload means success with output `done`.
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
