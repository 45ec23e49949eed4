//! What the outcomes of requests say about a backend server, whose own word may mislead.

use crate::decisions::peer_loads::FULL_SHARE_PERMILLE;

const WEIGHT_OF_NEW: f64 = 0.1;
const FAILING_RATE: f64 = 0.5;
const TOLERATED_RATE: f64 = 0.1;

/// How often a failing backend server is tried again, in milliseconds.
pub(crate) const PROBE_MS: u64 = 1_000;

/// The rate of failures among a target's recent requests.
///
/// A server that fails fast frees its slots fast; counted by load alone it would attract the
/// requests of all others. So its share falls with its failures, and the failures decay only by
/// requests that succeed, of which one is let through each [`PROBE_MS`].
#[derive(Debug, Default)]
pub struct Health {
    failure_rate: f64,
    last_probe_ms: u64,
}

impl Health {
    /// Takes the outcome of a request that ran, or of an attempt to connect.
    pub fn record_outcome(&mut self, succeeded: bool) {
        let failed = if succeeded { 0.0 } else { 1.0 };
        self.failure_rate += (failed - self.failure_rate) * WEIGHT_OF_NEW;
    }

    /// Returns the share that the outcomes allow, in thousandths.
    pub fn share_permille(&self) -> u16 {
        let span = FAILING_RATE - TOLERATED_RATE;
        let over = ((self.failure_rate - TOLERATED_RATE) / span).clamp(0.0, 1.0);
        (f64::from(FULL_SHARE_PERMILLE) * (1.0 - over)) as u16
    }

    /// Tells whether the target fails so often that only probes should reach it.
    pub fn is_failing(&self) -> bool {
        self.share_permille() == 0
    }

    /// Says whether a failing target may be tried now, and counts it as tried.
    pub fn try_start_probe(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.last_probe_ms + PROBE_MS;
        if due {
            self.last_probe_ms = now_ms;
        }
        due
    }
}
