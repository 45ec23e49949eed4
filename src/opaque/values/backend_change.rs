//! A change to the published entry of one backend server.

use crate::config::backend_entry::BackendValue;
use crate::config::revision::Revision;

/// A new value of one backend server's published entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange<'a> {
    /// The id of the backend server.
    pub id: &'a str,
    /// The parsed value.
    pub value: BackendValue,
    /// The revision of the change.
    pub revision: Revision,
}
