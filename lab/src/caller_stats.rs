//! Counts of the requests and flows of callers.

use serde::{Deserialize, Serialize};

/// The counts of a run, which can be added over processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerStats {
    /// Requests, including feeds.
    pub requests: u64,
    /// Requests that got their own complete response.
    pub answered: u64,
    /// Attempts that were refused without being executed, and that the caller retried.
    pub refused: u64,
    /// Requests that ended with an unknown outcome.
    pub unknown: u64,
    /// Requests whose response belonged to another request or service, or was truncated.
    pub wrong: u64,
    /// Claims that were executed more than once.
    pub doubled: u64,
    /// Claims that were answered but not executed.
    pub lost: u64,
    /// Flows opened.
    pub flows: u64,
    /// Flows that broke while in use.
    pub flows_broken: u64,
    /// Feeds that did not deliver every event in order.
    pub feeds_broken: u64,
    /// The ids of answered claims.
    pub claims: Vec<String>,
    /// The latencies of answered requests, in microseconds.
    pub latencies_us: Vec<u64>,
}

impl CallerStats {
    /// Adds the counts of `other` to these.
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

    /// Returns whether every request was answered correctly and no flow or feed broke.
    pub fn is_clean(&self) -> bool {
        let all_answered = self.answered == self.requests;
        let all_correct = self.wrong == 0 && self.doubled == 0 && self.lost == 0;
        all_answered && all_correct && self.flows_broken == 0 && self.feeds_broken == 0
    }
}
