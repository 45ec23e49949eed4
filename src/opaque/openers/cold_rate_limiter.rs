//! The rate limit for new flows to a cold backend server.
//!
//! After a zone is taken back, or a release replaces many servers, each of these is idle and cold and
//! looks like the best choice to all balancers at once. A limit on running and waiting requests lets
//! it get more flows a second than it can serve, since each of its requests ends before the next ones
//! arrive.

/// The capacity of the token bucket, in seconds of the rate. Openers come in bursts. A whole second's
/// worth at once would queue for as long as the same flows spread over a second.
const BURST_S: f64 = 0.25;
/// The least capacity of the token bucket, in flows. With less, no flow would ever pass.
const MIN_BURST_FLOWS: f64 = 1.0;

const MS_PER_S: f64 = 1_000.0;

/// A token bucket that fills at the rate which operators configure for a cold backend server.
///
/// It starts empty, because the agent before a restart may have just used a full bucket. In any second
/// at most 1.25 times the rate plus one flow pass, even across restarts of the agent.
#[derive(Debug, Default)]
pub(crate) struct ColdRateLimiter {
    tokens: f64,
    refilled_ms: Option<u64>,
}

impl ColdRateLimiter {
    /// Refills the bucket, and returns whether a new flow may be handed over now.
    pub(crate) fn has_token(&mut self, flows_per_s: f64, now_ms: u64) -> bool {
        let refilled_ms = self.refilled_ms.replace(now_ms).unwrap_or(now_ms);
        let passed_ms = now_ms.saturating_sub(refilled_ms) as f64;
        let capacity = (flows_per_s * BURST_S).max(MIN_BURST_FLOWS);
        self.tokens = capacity.min(self.tokens + flows_per_s * passed_ms / MS_PER_S);
        self.tokens >= 1.0
    }

    /// Returns how long a new flow behind `flows_ahead` others waits for a token, in milliseconds.
    pub(crate) fn wait_ms(&self, flows_per_s: f64, flows_ahead: usize) -> u64 {
        let missing_tokens = (flows_ahead as f64 + 1.0 - self.tokens).max(0.0);
        (missing_tokens * MS_PER_S / flows_per_s).ceil() as u64
    }

    /// Takes a token for a new flow that was handed over.
    pub(crate) fn take_token(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
