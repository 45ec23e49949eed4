//! The published state of the backend server beside an agent.

use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;

/// The newest backend server that is published at an agent's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalBackend {
    /// The service under which it is published.
    pub service: ServiceId,
    /// Whether its own entry lets it take new flows; an evacuation is not considered.
    pub takes_flows: bool,
    /// Whether its availability zone is evacuated, so that it must not get new flows.
    ///
    /// An evacuated backend server keeps running and keeps its flows.
    pub is_evacuated: bool,
    /// Whether it is no longer published.
    pub is_gone: bool,
    /// Whether its entry can be used, so that other processes know it.
    pub is_usable: bool,
    /// The first revision of this lifetime, which distinguishes it from earlier ones.
    pub first_revision: Revision,
    /// The start time of its process, if published.
    pub started_unix_ms: Option<u64>,
    /// The end of its cold start, in milliseconds of this process's clock.
    pub cold_until_ms: u64,
}

impl LocalBackend {
    /// Returns whether this lifetime began after another one, so that the other one has ended.
    ///
    /// Across a restore of the platform from an older copy, only the start times decide: this
    /// lifetime may be one from the copy, and treating it as the newer one would reset flows that
    /// the backend server holds.
    pub(crate) fn has_replaced(&self, before: &Self) -> bool {
        if self.first_revision.era() == before.first_revision.era() {
            return self.first_revision > before.first_revision;
        }
        let starts = self.started_unix_ms.zip(before.started_unix_ms);
        starts.is_some_and(|(own_start, other_start)| own_start > other_start)
    }
}
