//! A value as it was read from the platform, before it is accepted.

use crate::config::version_stamp::VersionStamp;

/// A state of a value that may be put into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncomingValue<'a> {
    /// The value's name.
    pub name: &'a str,
    /// The version stamp of the state.
    pub stamp: VersionStamp,
    /// The text of the state.
    pub text: &'a str,
}
