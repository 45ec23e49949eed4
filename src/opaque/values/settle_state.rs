//! Whether a process may treat a backend server that is not published as gone.

use crate::opaque::values::published_entry::LAPSE_GRACE_MS;

/// The time for which a starting process waits for announcements of backend servers that are not
/// published, in milliseconds: two announcement intervals, and time for agents that start together
/// with it.
pub(crate) const START_SETTLE_MS: u64 = 300;

/// Whether a process may have missed lapses of entries before it had values, and for how long it
/// waits for their return.
#[derive(Debug, Default)]
pub(crate) struct SettleState {
    /// The time until which entries that lapsed before this process started may come back.
    unsettled_until_ms: u64,
    /// Whether the first read of the platform succeeded; `None` until it has ended.
    first_read_succeeded: Option<bool>,
    /// The time since which this process has values.
    in_force_since_ms: Option<u64>,
}

impl SettleState {
    /// Records whether a read of the platform succeeded; only the first call has an effect.
    pub(crate) fn record_first_read(&mut self, has_succeeded: bool) {
        self.first_read_succeeded.get_or_insert(has_succeeded);
    }

    /// Records that this process has values from now on.
    pub(crate) fn record_in_force(&mut self, now_ms: u64) {
        self.in_force_since_ms = Some(now_ms);
    }

    /// Returns whether this process has values.
    pub(crate) fn has_values(&self) -> bool {
        self.in_force_since_ms.is_some()
    }

    /// Returns whether the first read of the platform failed.
    pub(crate) fn has_first_read_failed(&self) -> bool {
        self.first_read_succeeded == Some(false)
    }

    /// Returns whether a backend server that is not published may be treated as gone.
    ///
    /// A process that starts without values while the platform is unreachable can't know which
    /// entries lapsed during the outage; they are back soon after it. Its peers wait too, since
    /// their own reads may have come just after the end of the outage.
    ///
    /// `clock_ms` is the time at which values were last known to be the newest.
    pub(crate) fn is_settled(&self, clock_ms: u64, now_ms: u64) -> bool {
        let Some(since_ms) = self.in_force_since_ms else {
            return false;
        };
        let has_all_announcements = now_ms >= since_ms + START_SETTLE_MS;
        has_all_announcements && clock_ms >= self.unsettled_until_ms
    }

    /// Becomes unsettled for as long as a peer is, if this process may have missed the same lapses.
    ///
    /// A process that saw the entries lapse remembers their hosts, and does not have to wait.
    pub(crate) fn unsettle_with_peer(
        &mut self,
        settle_remaining_ms: u64,
        clock_ms: u64,
        now_ms: u64,
    ) {
        if self.may_have_missed(settle_remaining_ms, now_ms) {
            self.unsettle(settle_remaining_ms, clock_ms, now_ms);
        }
    }

    /// Returns whether this process had no values yet when an entry lapsed that may come back for
    /// another `settle_remaining_ms`.
    fn may_have_missed(&self, settle_remaining_ms: u64, now_ms: u64) -> bool {
        let Some(since_ms) = self.in_force_since_ms else {
            return true;
        };
        let lapsed_ms_ago = LAPSE_GRACE_MS.saturating_sub(settle_remaining_ms);
        now_ms.saturating_sub(lapsed_ms_ago) < since_ms
    }

    /// Becomes unsettled for at least `for_ms` from now.
    pub(crate) fn unsettle(&mut self, for_ms: u64, clock_ms: u64, now_ms: u64) {
        let until_ms = now_ms + for_ms;
        if until_ms > self.unsettled_until_ms {
            if self.is_settled(clock_ms, now_ms) {
                log::warn!("event=unsettled for_ms={for_ms}");
            }
            self.unsettled_until_ms = until_ms;
        }
    }

    /// Returns the time until this process is settled, in milliseconds.
    pub(crate) fn settle_remaining_ms(&self, clock_ms: u64) -> u64 {
        self.unsettled_until_ms
            .saturating_sub(clock_ms)
            .min(LAPSE_GRACE_MS)
    }
}
