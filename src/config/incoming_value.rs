//! One state of a published value, as a read of the platform offers it.

use crate::config::version_stamp::VersionStamp;

/// A state of a value that may come into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncomingValue<'a> {
    /// The value's name.
    pub name: &'a str,
    /// Where the state stands among all that the value had.
    pub stamp: VersionStamp,
    /// Its text.
    pub text: &'a str,
}
