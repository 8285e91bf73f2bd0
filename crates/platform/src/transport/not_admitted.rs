use std::error::Error;
use std::fmt;

/// Error of a new connection that a gate refuses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NotAdmitted;

impl NotAdmitted {
    /// Returns true if the error, or one that caused it, is of this type.
    pub(crate) fn caused(error: &(dyn Error + 'static)) -> bool {
        let mut next = Some(error);
        while let Some(error) = next {
            if error.is::<Self>() {
                return true;
            }
            next = error.source();
        }
        false
    }
}

impl fmt::Display for NotAdmitted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was not admitted")
    }
}

impl Error for NotAdmitted {}
