//! The recent outcomes of requests at a backend server.

/// The half-life of an outcome's weight, in milliseconds: about a dozen requests of a busy backend
/// server. One that begins to fail is detected within about this time.
const HALF_LIFE_MS: f64 = 500.0;
/// The share of failed requests from which a backend server is regarded as failing. A healthy one
/// fails almost none; one that is partly broken fails a few tenths.
const FAILING_SHARE: f64 = 0.2;
/// The weight of failed requests below which their share is not significant.
const MIN_FAILED_WEIGHT: f64 = 1.5;
/// The number of consecutive failures from which a backend server is regarded as failing, whatever
/// their share.
const FAILING_IN_A_ROW: u32 = 3;

/// Exponentially decaying counts of answered and of failed requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RecentOutcomes {
    served: f64,
    failed: f64,
    failed_in_a_row: u32,
    updated_ms: u64,
}

impl RecentOutcomes {
    /// Records an answered request.
    pub(crate) fn record_served(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.served += 1.0;
        self.failed_in_a_row = 0;
    }

    /// Records a failed request.
    pub(crate) fn record_failed(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.failed += 1.0;
        self.failed_in_a_row += 1;
    }

    /// Returns whether the backend server fails so often that others should be tried first.
    pub(crate) fn is_failing(&mut self, now_ms: u64) -> bool {
        self.decay(now_ms);
        let has_enough = self.failed >= MIN_FAILED_WEIGHT;
        let total = self.served + self.failed;
        has_enough
            && (self.failed_in_a_row >= FAILING_IN_A_ROW || self.failed >= FAILING_SHARE * total)
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.served *= factor;
        self.failed *= factor;
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
