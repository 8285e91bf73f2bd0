use std::fmt;

use lagoon_core::{RefusalClass, ResultCode};
use lagoon_process::answer::ErrorBody;
use lagoon_process::exit;
use lagoon_process::settings::SettingsErrors;

/// Why a command did not end as asked.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Arguments that can't be used.
    Usage(String),
    /// A file that is not valid.
    File(SettingsErrors),
    /// Refused by the gateway or a scheduler.
    Refused(ErrorBody),
    /// The connection could not be opened.
    NotSent(String),
    /// No whole answer came back.
    Lost(String),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::File(_) => exit::USAGE,
            Self::Refused(error) if error.class == RefusalClass::NotKnown => exit::NOT_KNOWN,
            Self::Refused(_) | Self::NotSent(_) => exit::FAILED,
            Self::Lost(_) => exit::NOT_KNOWN,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) => f.write_str(message),
            Self::File(errors) => errors.fmt(f),
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
            Self::Lost(message) => write!(f, "{}: {message}", ResultCode::AnswerLost),
        }
    }
}
