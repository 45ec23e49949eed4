//! One state of a published value, as a read of the platform offers it.

use crate::config::stamp::Stamp;

/// A state of a value that may come into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ValueState<'a> {
    /// The value's name.
    pub name: &'a str,
    /// Where the state stands among all that the value had.
    pub stamp: Stamp,
    /// Its text.
    pub text: &'a str,
}
