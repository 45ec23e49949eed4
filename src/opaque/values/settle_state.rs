//! Whether a process may take a backend server that is not published for gone.

use crate::opaque::values::published_entry::LAPSE_GRACE_MS;

/// How long a process that remembers nothing waits for agents of backend servers that are not published
/// to make themselves known, in milliseconds: two of their announcements and their start beside its own.
pub(crate) const START_SETTLE_MS: u64 = 300;

/// What a process may have missed before it had values.
#[derive(Debug, Default)]
pub(crate) struct SettleState {
    /// Until when entries that lapsed before this process started may come back.
    until_ms: u64,
    /// Whether the first read of the platform succeeded, once it has ended.
    first_read_succeeded: Option<bool>,
    /// Since when this process has had values.
    in_force_since_ms: Option<u64>,
}

impl SettleState {
    /// Notes how a read of the platform ended; the first one counts.
    pub(crate) fn note_read(&mut self, succeeded: bool) {
        self.first_read_succeeded.get_or_insert(succeeded);
    }

    /// Notes that this process has values now.
    pub(crate) fn start(&mut self, now_ms: u64) {
        self.in_force_since_ms = Some(now_ms);
    }

    /// Tells whether this process has had values.
    pub(crate) fn is_started(&self) -> bool {
        self.in_force_since_ms.is_some()
    }

    /// Tells whether the first read of the platform failed.
    pub(crate) fn has_missed_platform(&self) -> bool {
        self.first_read_succeeded == Some(false)
    }

    /// Tells whether a backend server that is not published may be taken for gone.
    ///
    /// A process that remembers nothing and found the platform away can't know which entries lapsed
    /// meanwhile; they are back soon after its return. Who hears of such a process waits
    /// with it, since its own read may have come just after the return.
    ///
    /// `clock_ms` is the time up to which entries that came back have been seen.
    pub(crate) fn is_settled(&self, clock_ms: u64, now_ms: u64) -> bool {
        let Some(since_ms) = self.in_force_since_ms else {
            return false;
        };
        let heard_all = now_ms >= since_ms + START_SETTLE_MS;
        heard_all && clock_ms >= self.until_ms
    }

    /// Waits with a process that says for how long something may come back which it missed.
    ///
    /// A process that saw it vanish remembers whom to ask, and need not wait.
    pub(crate) fn wait_with(&mut self, unsettled_ms: u64, clock_ms: u64, now_ms: u64) {
        if self.has_missed(unsettled_ms, now_ms) {
            self.unsettle(unsettled_ms, clock_ms, now_ms);
        }
    }

    /// Tells whether this process had no values yet when what may come back for so long vanished.
    fn has_missed(&self, unsettled_ms: u64, now_ms: u64) -> bool {
        let Some(since_ms) = self.in_force_since_ms else {
            return true;
        };
        let vanished_ms_ago = LAPSE_GRACE_MS.saturating_sub(unsettled_ms);
        now_ms.saturating_sub(vanished_ms_ago) < since_ms
    }

    /// Waits for what may come back within a time.
    pub(crate) fn unsettle(&mut self, for_ms: u64, clock_ms: u64, now_ms: u64) {
        let until_ms = now_ms + for_ms;
        if until_ms > self.until_ms {
            if self.is_settled(clock_ms, now_ms) {
                log::warn!("event=unsettled for_ms={for_ms}");
            }
            self.until_ms = until_ms;
        }
    }

    /// Returns for how long something may still come back that this process missed, in milliseconds.
    pub(crate) fn unsettled_ms(&self, clock_ms: u64) -> u64 {
        self.until_ms.saturating_sub(clock_ms).min(LAPSE_GRACE_MS)
    }
}
