//! What an agent finds published of its own backend server.

use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;

/// The backend server that an agent finds published at its own address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalBackend {
    /// The service under which it is published.
    pub service: ServiceId,
    /// Whether it takes new flows, as far as it is for itself to say.
    pub takes_flows: bool,
    /// Whether operators evacuated its availability zone, so that it is to get no new flow.
    ///
    /// It goes on and holds its flows, so that this says nothing about its process.
    pub is_evacuated: bool,
    /// Whether it is no longer published.
    pub is_gone: bool,
    /// Whether its entry can be used, so that other processes know of it.
    pub is_usable: bool,
    /// The revision at which it was published first, which tells its lifetime from those before.
    pub first_revision: Revision,
    /// When its process started, where it tells that.
    pub started_unix_ms: Option<u64>,
    /// Until when it is slow after its start, in milliseconds of this process.
    pub cold_until_ms: u64,
}

impl LocalBackend {
    /// Tells whether this lifetime began after another one, so that the other one has ended.
    ///
    /// Where the platform came back from an older copy between the two, only their starts tell: this one may be of the
    /// copy, and flows would be reset that the server holds.
    pub(crate) fn has_replaced(&self, before: &Self) -> bool {
        if self.first_revision.era() == before.first_revision.era() {
            return self.first_revision > before.first_revision;
        }
        let starts = self.started_unix_ms.zip(before.started_unix_ms);
        starts.is_some_and(|(own, others)| own > others)
    }
}
