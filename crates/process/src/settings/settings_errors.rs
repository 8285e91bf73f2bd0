use std::fmt;
use std::path::{Path, PathBuf};

use lagoon_core::ResultCode;

use crate::settings::Problem;

/// All problems of a settings file or a policy document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors {
    code: ResultCode,
    file: PathBuf,
    problems: Vec<Problem>,
}

impl SettingsErrors {
    pub(crate) fn new(file: &Path, problems: Vec<Problem>) -> Self {
        Self {
            code: ResultCode::InvalidSettings,
            file: file.to_owned(),
            problems,
        }
    }

    /// Replaces the result code.
    pub fn with_code(mut self, code: ResultCode) -> Self {
        self.code = code;
        self
    }

    /// Returns the error for a command line without a settings file.
    pub(crate) fn missing_argument() -> Self {
        let message = "--settings FILE is missing".to_owned();
        let key = String::new();
        Self::new(Path::new("command line"), vec![Problem { key, message }])
    }

    /// Returns the problems: syntax and type errors first, then violated rules.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.code)?;
        for problem in &self.problems {
            write!(f, "\n{}: {problem}", self.file.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
