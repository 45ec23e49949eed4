//! The results that callers of opaque flows observed.

/// The results of callers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallTally {
    /// Requests sent.
    pub requests: u64,
    /// Requests that got their own complete answer.
    pub answered: u64,
    /// Requests without an answer within their time limit and retries.
    pub failed: u64,
    /// Answers to another request, and malformed or changed packets.
    pub wrong: u64,
    /// Open flows that the load balancer reset.
    pub reset: u64,
    /// Openers that the load balancer refused.
    pub refused: u64,
    /// Flows that the load balancer reset while a backend server held them.
    pub wrongly_reset: u64,
    /// Requests that a backend server refused without running them.
    pub shed: u64,
    /// The ids of claims that were answered.
    pub claims: Vec<String>,
    /// The longest time from a request to its answer, in milliseconds.
    pub slowest_ms: u64,
}
