//! How the requests that ended last fared at a backend server.

/// The time in which an outcome loses half of its weight, in milliseconds: some dozen requests of a
/// busy backend server, so that one that begins to fail is noticed within about that time.
const HALF_LIFE_MS: f64 = 500.0;
/// The share of failed requests from which a backend server counts as failing. One that works fails
/// almost none; one that is broken in part fails some tenths.
const FAILING_SHARE: f64 = 0.2;
/// The weight of failed requests below which their share says nothing.
const MIN_FAILED: f64 = 1.5;
/// How many failures in a row show that it fails, whatever it did before.
const IN_A_ROW: u32 = 3;

/// Decaying counts of requests that were answered and of those that failed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentOutcomes {
    served: f64,
    failed: f64,
    in_a_row: u32,
    at_ms: u64,
}

impl RecentOutcomes {
    /// Notes that a request was answered.
    pub(crate) fn record_served(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.served += 1.0;
        self.in_a_row = 0;
    }

    /// Notes that a request failed.
    pub(crate) fn record_failed(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed += 1.0;
        self.in_a_row += 1;
    }

    /// Tells whether the backend server fails so much that others should be tried first.
    pub(crate) fn is_failing(&mut self, now_ms: u64) -> bool {
        self.decay(now_ms);
        let enough = self.failed >= MIN_FAILED;
        let all = self.served + self.failed;
        enough && (self.in_a_row >= IN_A_ROW || self.failed >= FAILING_SHARE * all)
    }

    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let kept = (-passed_ms / HALF_LIFE_MS).exp2();
        self.served *= kept;
        self.failed *= kept;
        self.at_ms = self.at_ms.max(now_ms);
    }
}
