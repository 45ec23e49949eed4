//! What is kept from a backend server that works slower than usual.
//!
//! The load that this answers is that of [`crate::decisions::pace_watch`]. New flows go where they would be answered
//! first, so that a slow server is the last choice and still one, also where all are slow. Flows that are open there
//! would stay with it: while it can't answer them in time and others can, they are ended between two requests, and
//! their callers open new ones.

/// The part of what a request takes longer that an opener should avoid: told whole, slots that could still answer in
/// time would stand idle while others queue.
const EXTRA_PART: f64 = 0.5;
/// The part of the latency objective within which others must answer: a caller that moves in vain is worse off.
const ELSEWHERE_PART: f64 = 0.5;

/// A backend server that takes longer than usual, and what an opener finds elsewhere.
#[derive(Debug, Clone, Copy)]
pub struct SlowServer {
    /// How many times the usual time a request takes.
    pub slower: f64,
    /// How long it takes now, in milliseconds.
    pub service_ms: f64,
    /// For how long it would wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// For how long it would wait at others, in milliseconds, where that was told lately.
    pub elsewhere_ms: Option<u16>,
}

impl SlowServer {
    /// Returns by how much further away it is for an opener than its wait says, in milliseconds.
    pub fn extra_ms(&self) -> f64 {
        EXTRA_PART * (self.service_ms - self.usual_ms())
    }

    /// Tells whether flows without a request are better off elsewhere, by their latency objective.
    ///
    /// Where others are no better, as when all are slow, what is measured may be something else that all share.
    pub fn moves_flows(&self, objective_ms: u32) -> bool {
        let objective_ms = f64::from(objective_ms);
        let is_late = self.wait_ms + self.service_ms > objective_ms;
        let elsewhere_ms = self.elsewhere_ms.map(f64::from);
        let is_early_there = elsewhere_ms
            .is_some_and(|wait_ms| wait_ms + self.usual_ms() <= ELSEWHERE_PART * objective_ms);
        is_late && is_early_there
    }

    fn usual_ms(&self) -> f64 {
        self.service_ms / self.slower.max(1.0)
    }
}
