//! What callers saw, counted.

use serde::{Deserialize, Serialize};

/// The counts of a run, which add up over processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerStats {
    /// Requests that callers wanted answered, feeds among them.
    pub requests: u64,
    /// Requests that got the whole answer of their own.
    pub answered: u64,
    /// Tries that were refused with "not run", after which the caller came back.
    pub refused: u64,
    /// Requests that ended with "outcome unknown".
    pub unknown: u64,
    /// Requests whose answer was another's, truncated or of another service.
    pub wrong: u64,
    /// Claims that ran more than once.
    pub doubled: u64,
    /// Claims that were answered and did not run.
    pub lost: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows that were lost while in use.
    pub flows_broken: u64,
    /// Feeds that did not bring every event in its order.
    pub feeds_broken: u64,
    /// Answered claims, by their ids.
    pub claims: Vec<String>,
    /// Latencies of answered requests, in microseconds.
    pub latencies_us: Vec<u64>,
}

impl CallerStats {
    /// Adds another count to this one.
    pub fn add(&mut self, other: &CallerStats) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.doubled += other.doubled;
        self.lost += other.lost;
        self.flows += other.flows;
        self.flows_broken += other.flows_broken;
        self.feeds_broken += other.feeds_broken;
        self.claims.extend_from_slice(&other.claims);
        self.latencies_us.extend_from_slice(&other.latencies_us);
    }

    /// Tells whether every promise that callers can see was kept.
    pub fn is_clean(&self) -> bool {
        let answered = self.answered == self.requests;
        let whole = self.wrong == 0 && self.doubled == 0 && self.lost == 0;
        answered && whole && self.flows_broken == 0 && self.feeds_broken == 0
    }
}
