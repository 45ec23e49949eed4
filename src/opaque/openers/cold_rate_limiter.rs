//! How many new flows a cold backend server may still be handed.
//!
//! Load pattern: a zone is taken back, or a release replaces many servers, and each of them, idle and cold, looks
//! like the best choice to all balancers at once. Limits by requests that run or wait let it have more flows a
//! second than it bears, since each of its requests ends before the next ones come.

/// For how long the rate may be saved up, in seconds: openers come in bursts, and a second's worth in one moment
/// would wait behind each other for as long as one spread over the second.
const BURST_S: f64 = 0.25;
/// The least that may be saved up, in flows: less would never let one through.
const MIN_BURST: f64 = 1.0;

const MS_PER_S: f64 = 1_000.0;

/// A token bucket, filled at the rate that operators tell of a cold backend server.
///
/// It starts empty: the agent before this one may have just handed over as much as a full one allows. So in any
/// second no more than 1.25 times the rate and one flow pass, restarts of the agent included.
#[derive(Debug, Default)]
pub(crate) struct ColdRateLimiter {
    tokens: f64,
    filled_ms: Option<u64>,
}

impl ColdRateLimiter {
    /// Tells whether a new flow may be handed over now.
    pub(crate) fn has_token(&mut self, flows_per_s: f64, now_ms: u64) -> bool {
        let filled_ms = self.filled_ms.replace(now_ms).unwrap_or(now_ms);
        let passed_ms = now_ms.saturating_sub(filled_ms) as f64;
        let most = (flows_per_s * BURST_S).max(MIN_BURST);
        self.tokens = most.min(self.tokens + flows_per_s * passed_ms / MS_PER_S);
        self.tokens >= 1.0
    }

    /// Returns for how long a new flow behind so many others waits for its turn, in milliseconds.
    pub(crate) fn wait_ms(&self, flows_per_s: f64, before: usize) -> u64 {
        let missing = (before as f64 + 1.0 - self.tokens).max(0.0);
        (missing * MS_PER_S / flows_per_s).ceil() as u64
    }

    /// Notes that a new flow was handed over.
    pub(crate) fn take_token(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
