//! Whether an opener for which its backend server has no slot waits or is refused.
//!
//! Load pattern: after a loss of power of all hosts, or in a rush, openers come faster than cold servers serve them.
//! One that waits past its caller's deadline keeps its caller from trying again; one that is refused while it could
//! have been served loses its turn. See docs/design/waiting-openers.md.

use crate::config::deadlines::UNANSWERED_ATTEMPT_MS;

/// What is to be expected of an opener at one backend server.
#[derive(Debug, Clone, Copy)]
pub struct WaitEstimate {
    /// For how long its caller has waited, in all attempts, in milliseconds.
    pub age_ms: u64,
    /// For how long its caller has waited in this attempt, in milliseconds.
    pub attempt_age_ms: u64,
    /// For how long it would wait for a slot, in milliseconds.
    pub wait_ms: u64,
    /// For how long it would occupy the slot, in milliseconds.
    pub service_ms: f64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u32,
    /// When its caller gives up, in milliseconds.
    pub timeout_ms: u32,
    /// For how long the one that has waited longest has, in milliseconds.
    pub longest_wait_ms: u64,
}

impl WaitEstimate {
    /// Tells whether the opener should wait.
    ///
    /// What can't be in time waits only while those before it are served: where one of them has waited for a
    /// whole objective, what comes behind it has no better chance than a new attempt elsewhere.
    pub fn should_wait(&self) -> bool {
        let done_ms = self.age_ms + self.wait_ms + self.service_ms as u64;
        if done_ms <= u64::from(self.objective_ms) {
            return true;
        }
        let opens_ms = self.attempt_age_ms + self.wait_ms;
        done_ms <= u64::from(self.timeout_ms)
            && opens_ms < u64::from(UNANSWERED_ATTEMPT_MS)
            && self.longest_wait_ms < u64::from(self.objective_ms)
    }
}
