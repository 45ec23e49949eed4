//! The one error type of the library.

use std::fmt;

use crate::code::Code;

/// An error with its number, what went wrong and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The number under which docs/CODES.md explains the error.
    pub code: Code,
    /// What went wrong, with the row, key or address concerned.
    pub message: String,
}

/// The result of a fallible function of the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Makes an error of `code` about what `message` names.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "E{} {}: {} ({})",
            self.code.number(),
            self.code.meaning(),
            self.message,
            self.code.remedy()
        )
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::new(Code::Io, error.to_string())
    }
}
