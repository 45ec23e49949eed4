//! The published entry of one backend server, as a process keeps it in memory.
//!
//! An entry *lapses* when the platform stops publishing it for lack of heartbeats, as happens to
//! entries of running backend servers during an outage of its service.

use crate::config::backend_entry::{Backend, BackendState};
use crate::config::revision::Revision;

/// The grace period in which a backend server whose entry lapsed without draining still takes new
/// flows, in milliseconds.
///
/// The platform guarantees that entries which lapsed during an outage of its service are back
/// within about two seconds after it.
pub(crate) const LAPSE_GRACE_MS: u64 = 2_500;
/// The time for which the host of a backend server that is gone is still queried for flows, in
/// milliseconds: the longest lifetime of a flow on the users' platform.
pub(crate) const GONE_RETENTION_MS: u64 = 60_000;

/// When and in which state an entry stopped being published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone {
    pub(crate) since_ms: u64,
    /// Whether it was not draining, so that it may come back.
    pub(crate) was_ready: bool,
    /// Whether its last value could be used.
    pub(crate) was_usable: bool,
}

/// The entry of one backend server, identified by its id, since another backend server may reuse
/// its address.
///
/// A process that restarts may also reuse its own id: a *lifetime* is an id and a start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PublishedEntry {
    pub(crate) id: String,
    pub(crate) backend: Backend,
    pub(crate) revision: Revision,
    /// The first revision of this lifetime.
    pub(crate) first_revision: Revision,
    /// The latest start time that was published for this id.
    pub(crate) latest_start_unix_ms: Option<u64>,
    /// Since when its value can't be used; the backend server may still run and hold flows.
    pub(crate) unusable_since_ms: Option<u64>,
    pub(crate) gone: Option<Gone>,
    /// The end of the backend server's cold start, in milliseconds of this process's clock.
    pub(crate) cold_until_ms: u64,
}

impl PublishedEntry {
    pub(crate) fn new(id: &str, backend: Backend, revision: Revision, now_ms: u64) -> Self {
        Self {
            id: id.to_owned(),
            latest_start_unix_ms: backend.started_unix_ms,
            cold_until_ms: now_ms + u64::from(backend.cold_ms),
            backend,
            revision,
            first_revision: revision,
            unusable_since_ms: None,
            gone: None,
        }
    }

    /// Applies a newly published value, which may begin a new lifetime.
    ///
    /// Only a start time after all published ones proves a new lifetime. An earlier one may be a
    /// late write of the lifetime before, or come from a clock that was set back; treating a late
    /// write as a restart would reset flows that the backend server holds.
    pub(crate) fn update(&mut self, backend: Backend, revision: Revision, now_ms: u64) {
        let start_unix_ms = backend.started_unix_ms;
        if self.latest_start_unix_ms.is_some() && start_unix_ms > self.latest_start_unix_ms {
            self.first_revision = revision;
        }
        self.latest_start_unix_ms = self.latest_start_unix_ms.max(start_unix_ms);
        self.cold_until_ms = now_ms + u64::from(backend.cold_ms);
        self.backend = backend;
        self.revision = revision;
        self.unusable_since_ms = None;
        self.gone = None;
    }

    /// Returns whether this lifetime began after another one at the same address, and has replaced
    /// it there.
    ///
    /// Across a restore of the platform from an older copy, its revisions do not order the two: an
    /// entry from the copy may be of a lifetime that ended long ago. The start times decide then,
    /// or else which of the two is still published.
    pub(crate) fn replaces(&self, other: &Self) -> bool {
        let by_revision = self.first_revision > other.first_revision;
        if self.first_revision.era() == other.first_revision.era() {
            return by_revision;
        }
        let starts = (self.backend.started_unix_ms, other.backend.started_unix_ms);
        match (starts, self.gone.is_some(), other.gone.is_some()) {
            ((Some(own_start), Some(other_start)), _, _) if own_start != other_start => {
                own_start > other_start
            }
            (_, true, false) => false,
            (_, false, true) => true,
            _ => by_revision,
        }
    }

    /// Returns whether the backend server takes new flows.
    pub(crate) fn takes_flows(&self, clock_ms: u64) -> bool {
        match self.gone {
            None => self.unusable_since_ms.is_none() && self.backend.state == BackendState::Ready,
            Some(gone) => gone.was_usable && self.may_return(gone, clock_ms),
        }
    }

    /// Returns whether the backend server may hold flows.
    pub(crate) fn may_hold_flows(&self, clock_ms: u64) -> bool {
        match (self.gone, self.unusable_since_ms) {
            (Some(gone), _) => self.may_return(gone, clock_ms),
            // An entry that stays unusable may belong to a dead server, whose host does not answer.
            (None, Some(since_ms)) => clock_ms < since_ms + GONE_RETENTION_MS,
            (None, None) => true,
        }
    }

    fn may_return(&self, gone: Gone, clock_ms: u64) -> bool {
        gone.was_ready && clock_ms < gone.since_ms + LAPSE_GRACE_MS
    }
}
