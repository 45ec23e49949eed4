//! Follows the returns of the platform from older copies, and when what it shows can be believed again.

/// For how long after a return the platform may show what was replaced before it, in milliseconds.
///
/// Entries are back within about two seconds; that of a server which has ended stands in the copy until three of its signs
/// of life are missed, 3.6 seconds on the users' sites. When operators have written again what the copy lacks is not
/// promised: meanwhile no flow is sent into a zone that they emptied, at the price of a zone that stays empty for that long
/// where they have taken it back.
pub const RESTORE_SETTLE_MS: u64 = 5_000;

/// What a look at the platform's era showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestorationEvent {
    /// The platform came back from an older copy: operators and backend servers write there again what it lost.
    Restored,
    /// What they had to write again is written.
    Settled,
}

/// The returns of the platform, as far as one process knows them.
///
/// Until they have written again, the platform lacks what operators and backend servers told it last.
#[derive(Debug, Default)]
pub struct RestorationTracker {
    era: u64,
    /// Until when the platform may show what was replaced before it came back.
    until_ms: Option<u64>,
}

impl RestorationTracker {
    /// Returns the latest era that is known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Looks at the latest era of what was read or is in force.
    ///
    /// `clock_ms` is the time up to which values are known to be the newest, so that the wait stands still while the
    /// platform is away once more.
    pub fn observe_era(&mut self, era: u64, clock_ms: u64) -> Option<RestorationEvent> {
        if era > self.era {
            self.era = era;
            self.until_ms = Some(clock_ms + RESTORE_SETTLE_MS);
            return Some(RestorationEvent::Restored);
        }
        let is_over = self.until_ms.is_some_and(|until_ms| clock_ms >= until_ms);
        if is_over {
            self.until_ms = None;
            return Some(RestorationEvent::Settled);
        }
        None
    }
}
