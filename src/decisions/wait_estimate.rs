//! The decision whether an opener waits for a slot of its backend server or is refused.
//!
//! Load pattern: after a power loss of all hosts, or in a rush, openers arrive faster than cold
//! servers serve them. An opener that waits past its caller's deadline keeps the caller from
//! retrying, and one that is refused although it could have been served in time loses its turn. See
//! docs/design/waiting-openers.md.

use crate::config::deadlines::UNANSWERED_ATTEMPT_TIMEOUT_MS;

/// The expected wait and service time of an opener at one backend server, and its time limits.
#[derive(Debug, Clone, Copy)]
pub struct WaitEstimate {
    /// How long its caller has waited in all attempts, in milliseconds.
    pub age_ms: u64,
    /// How long its caller has waited in this attempt, in milliseconds.
    pub attempt_age_ms: u64,
    /// The expected wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// The expected time in the slot, in milliseconds.
    pub service_ms: f64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u32,
    /// The time after which its caller gives up, in milliseconds.
    pub timeout_ms: u32,
    /// How long the oldest entry of the queue has waited, in milliseconds.
    pub longest_wait_ms: u64,
}

impl WaitEstimate {
    /// Returns whether the opener should wait here rather than be refused.
    ///
    /// An opener that will miss its objective, but not its timeouts, waits only if the oldest entry
    /// of the queue has waited for less than one objective. Otherwise a new attempt elsewhere has
    /// at least as good a chance.
    pub fn should_wait(&self) -> bool {
        let done_ms = self.age_ms + self.wait_ms + self.service_ms as u64;
        if done_ms <= u64::from(self.objective_ms) {
            return true;
        }
        let opens_ms = self.attempt_age_ms + self.wait_ms;
        done_ms <= u64::from(self.timeout_ms)
            && opens_ms < u64::from(UNANSWERED_ATTEMPT_TIMEOUT_MS)
            && self.longest_wait_ms < u64::from(self.objective_ms)
    }
}
