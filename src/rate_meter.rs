//! How often something happens, from counts over short spans.

/// The length of a span, in milliseconds.
const SPAN_MS: u64 = 2_000;

/// A rate that follows the last few spans.
#[derive(Debug, Default)]
pub(crate) struct RateMeter {
    span_start_ms: u64,
    count: u64,
    per_ms: f64,
}

impl RateMeter {
    /// Counts one event.
    pub(crate) fn count(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.span_start_ms);
        if elapsed_ms >= SPAN_MS {
            let newest = self.count as f64 / elapsed_ms as f64;
            self.per_ms = (self.per_ms + newest) / 2.0;
            self.span_start_ms = now_ms;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Returns the events of a millisecond.
    pub(crate) fn per_ms(&self) -> f64 {
        self.per_ms
    }
}
