//! The id that identifies a service in packets and messages.

use std::fmt;

use crate::config::hash;

/// A 32-bit hash of the service's name.
///
/// Routing tokens and envelopes carry it, so that a packet's service is known without the table;
/// see docs/DESIGN.md, "Routing token". Two services whose names have the same hash can't be told
/// apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

impl ServiceId {
    /// Returns the id of the service with this name.
    pub fn from_name(name: &str) -> Self {
        Self(hash::name_hash(name) as u32)
    }
}

impl fmt::Display for ServiceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}
