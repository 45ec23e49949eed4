//! A change of what is published of one backend server.

use crate::config::backend_entry::BackendValue;
use crate::config::revision::Revision;

/// What is published anew of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendChange<'a> {
    /// Its id.
    pub id: &'a str,
    /// What its value says.
    pub value: BackendValue,
    /// The revision of the change.
    pub revision: Revision,
}
