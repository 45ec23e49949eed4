//! What callers of opaque flows saw.

/// What callers saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallTally {
    /// Requests sent.
    pub requests: u64,
    /// Requests that got the whole answer of their own.
    pub answered: u64,
    /// Requests without an answer within their limit and tries.
    pub failed: u64,
    /// Answers that were not their request's, and packets that nobody wrote so.
    pub wrong: u64,
    /// Open flows reset by the system.
    pub reset: u64,
    /// Openers that the system refused.
    pub refused: u64,
    /// Flows reset by the system while a backend server held them.
    pub wrongly_reset: u64,
    /// Refusals by a server that did not run the request.
    pub shed: u64,
    /// Claims that were answered, by their ids.
    pub claims: Vec<String>,
    /// The longest time until an answer, in milliseconds.
    pub slowest_ms: u64,
}
