//! Detects restores of the platform from older copies, and when its state is reliable again after
//! one.

/// The time after a restore for which the platform may return values that were replaced before it,
/// in milliseconds.
///
/// Running backend servers rewrite their entries within about two seconds. The entry of a server
/// that has ended stays in the copy until three of its heartbeats are missed, which takes 3.6
/// seconds on the users' sites. Operators may take any time to rewrite values that the copy lacks.
/// During this time no flow is sent to a zone that was evacuated before the restore, even if
/// operators have taken the zone back since.
pub const RESTORE_SETTLE_MS: u64 = 5_000;

/// A change in the state of a restore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestorationEvent {
    /// The platform was restored from an older copy; operators and backend servers rewrite what it
    /// lost.
    Restored,
    /// The time to rewrite lost values is over.
    Settled,
}

/// Tracks restores of the platform from older copies, as seen by one process.
///
/// After a restore, the platform lacks the latest values until operators and backend servers have
/// rewritten them.
#[derive(Debug, Default)]
pub struct RestorationTracker {
    era: u64,
    /// The time until which the platform may return values that were replaced before the restore.
    unsettled_until_ms: Option<u64>,
}

impl RestorationTracker {
    /// Returns the latest known era.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Records the latest era of the values that were read or are in force; returns a change in the
    /// state of a restore.
    ///
    /// `clock_ms` is the time at which values were last known to be the newest, so that the wait
    /// pauses while the platform is unreachable again.
    pub fn observe_era(&mut self, era: u64, clock_ms: u64) -> Option<RestorationEvent> {
        if era > self.era {
            self.era = era;
            self.unsettled_until_ms = Some(clock_ms + RESTORE_SETTLE_MS);
            return Some(RestorationEvent::Restored);
        }
        let is_over = self
            .unsettled_until_ms
            .is_some_and(|until_ms| clock_ms >= until_ms);
        if is_over {
            self.unsettled_until_ms = None;
            return Some(RestorationEvent::Settled);
        }
        None
    }
}
