use std::error::Error;

use quick_error::quick_error;

use crate::exit;
use crate::settings::SettingsErrors;

quick_error! {
    /// Why a program ended early; opaque, with the context of what it was doing.
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
    /// Adds what the program was doing to the cause.
    pub fn new(context: impl Into<String>, cause: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        RunErrorKind::Failed(context.into(), cause.into()).into()
    }

    /// Returns the exit code that belongs to this error.
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
