use std::error::Error;

use quick_error::quick_error;

use crate::exit;
use crate::settings::SettingsErrors;

quick_error! {
    /// Opaque error that ended a program, with the operation that failed.
    #[derive(Debug)]
    pub enum RunError wraps RunErrorKind {
        Settings(e: SettingsErrors) {
            display("{e}")
            source(e)
            from()
        }
        Failed(context: String, cause: Box<dyn Error + Send + Sync>) {
            display("{context}: {cause}")
            source(&**cause)
        }
    }
}

impl RunError {
    /// Creates an error from its cause and the operation that failed.
    pub fn new(context: impl Into<String>, cause: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        RunErrorKind::Failed(context.into(), cause.into()).into()
    }

    /// Returns the exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match &self.0 {
            RunErrorKind::Settings(_) => exit::USAGE,
            RunErrorKind::Failed(..) => exit::FAILED,
        }
    }
}

impl From<SettingsErrors> for RunError {
    fn from(errors: SettingsErrors) -> Self {
        RunErrorKind::Settings(errors).into()
    }
}
