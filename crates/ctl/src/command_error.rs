use std::fmt;

use lagoon_core::{RefusalClass, ResultCode};
use lagoon_process::answer::ErrorBody;
use lagoon_process::exit;
use lagoon_process::settings::SettingsErrors;

/// Error that ends a command.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// Invalid arguments.
    Usage(String),
    /// A file that is invalid.
    InvalidFile(SettingsErrors),
    /// A refusal by the gateway or a scheduler.
    Refused(ErrorBody),
    /// The connection could not be opened, so the request was not sent.
    NotSent(String),
    /// No complete response was received, so the outcome is unknown.
    ResponseLost(String),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::InvalidFile(_) => exit::USAGE,
            Self::Refused(error) if error.class == RefusalClass::NotKnown => exit::NOT_KNOWN,
            Self::Refused(_) | Self::NotSent(_) => exit::FAILED,
            Self::ResponseLost(_) => exit::NOT_KNOWN,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => f.write_str(message),
            Self::InvalidFile(errors) => errors.fmt(f),
            Self::Refused(error) => write!(
                f,
                "{} {} ({}): {}",
                error.code, error.name, error.class, error.message
            ),
            Self::NotSent(message) => {
                write!(
                    f,
                    "the gateway can't be reached, nothing was sent: {message}"
                )
            }
            Self::ResponseLost(message) => write!(f, "{}: {message}", ResultCode::AnswerLost),
        }
    }
}
