//! The health of a backend server, derived from the outcomes of its requests, since what the server
//! reports about itself may be wrong.

use crate::decisions::peer_loads::FULL_SHARE_PERMILLE;

/// The weight of the newest outcome in the failure rate.
const NEWEST_WEIGHT: f64 = 0.1;
/// The failure rate at and above which a target's share is zero.
const FAILING_RATE: f64 = 0.5;
/// The failure rate up to which a target keeps its full share.
const TOLERATED_RATE: f64 = 0.1;

/// The interval between probes of a failing backend server, in milliseconds.
pub(crate) const PROBE_INTERVAL_MS: u64 = 1_000;

/// The rate of failures among a target's recent requests.
///
/// A server that fails fast also frees its slots fast, so that by load alone it would attract the
/// requests of all others. Its share therefore falls as its failure rate rises. The rate falls only
/// when requests succeed; while the share is zero, one request is let through as a probe each
/// `PROBE_INTERVAL_MS`.
#[derive(Debug, Default)]
pub struct Health {
    failure_rate: f64,
    last_probe_ms: u64,
}

impl Health {
    /// Records the outcome of a request that ran, or of an attempt to connect.
    pub fn record_outcome(&mut self, succeeded: bool) {
        let failed = if succeeded { 0.0 } else { 1.0 };
        self.failure_rate += (failed - self.failure_rate) * NEWEST_WEIGHT;
    }

    /// Returns the share of its weight that the target may take, in thousandths.
    pub fn share_permille(&self) -> u16 {
        let range = FAILING_RATE - TOLERATED_RATE;
        let excess = ((self.failure_rate - TOLERATED_RATE) / range).clamp(0.0, 1.0);
        (f64::from(FULL_SHARE_PERMILLE) * (1.0 - excess)) as u16
    }

    /// Returns whether the target fails so often that only probes should reach it.
    pub fn is_failing(&self) -> bool {
        self.share_permille() == 0
    }

    /// Returns whether a probe of a failing target is due, and if so records it as sent.
    pub fn try_start_probe(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.last_probe_ms + PROBE_INTERVAL_MS;
        if is_due {
            self.last_probe_ms = now_ms;
        }
        is_due
    }
}
