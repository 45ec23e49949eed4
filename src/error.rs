//! The error type of the library.

use std::fmt;

use crate::code::Code;

/// An error: a numbered code, which has a meaning and a remedy, and a message about this occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The code, which docs/CODES.md explains.
    pub code: Code,
    /// What went wrong, with the row, key or address in question.
    pub message: String,
}

/// The result of a fallible function of the library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error from a code and a message.
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
