//! How an agent's own flows came and went of late, from which it judges how old reports have aged.

use std::collections::VecDeque;

/// The least time between two samples, in milliseconds.
const SAMPLE_MS: u64 = 50;
/// How far back the samples reach, in milliseconds.
const REACH_MS: u64 = 30_000;
/// A growth below this many standard deviations of chance is taken for none.
const CHANCE_DEVIATIONS: f64 = 4.0;
/// The span over which the rate of openers is taken, in milliseconds.
const RATE_SPAN_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at_ms: u64,
    owned: u64,
    closed: u64,
}

/// Counts of openers owned and flows closed, with samples of the past.
#[derive(Debug, Default)]
pub(crate) struct FlowHistory {
    now: Sample,
    samples: VecDeque<Sample>,
}

impl FlowHistory {
    /// Counts an opener of which this agent is the owner, whoever takes it.
    pub(crate) fn owned(&mut self, now_ms: u64) {
        self.sample(now_ms);
        self.now.owned += 1;
    }

    /// Counts a flow that has ended.
    pub(crate) fn closed(&mut self) {
        self.now.closed += 1;
    }

    /// Returns by how many flows the service's hash alone would have made this target grow since
    /// `at_ms`: openers owned less flows ended, or 0 where chance explains the difference.
    pub(crate) fn growth_since(&self, at_ms: u64) -> f64 {
        let then = self.at(at_ms);
        let owned = (self.now.owned - then.owned) as f64;
        let closed = (self.now.closed - then.closed) as f64;
        let growth = owned - closed;
        let chance = CHANCE_DEVIATIONS * (owned + closed).sqrt();
        if growth.abs() > chance { growth } else { 0.0 }
    }

    /// Returns how many openers of this agent arrive in a millisecond.
    pub(crate) fn owned_per_ms(&self, now_ms: u64) -> f64 {
        let then = self.at(now_ms.saturating_sub(RATE_SPAN_MS));
        let span_ms = now_ms.saturating_sub(then.at_ms).max(SAMPLE_MS);
        (self.now.owned - then.owned) as f64 / span_ms as f64
    }

    fn sample(&mut self, now_ms: u64) {
        self.now.at_ms = now_ms;
        let last_ms = self.samples.back().map_or(0, |sample| sample.at_ms);
        if !self.samples.is_empty() && now_ms < last_ms + SAMPLE_MS {
            return;
        }
        self.samples.push_back(self.now);
        let oldest_ms = now_ms.saturating_sub(REACH_MS);
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.at_ms < oldest_ms)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is not after `at_ms`, or the oldest of all.
    fn at(&self, at_ms: u64) -> Sample {
        let after = self.samples.partition_point(|sample| sample.at_ms <= at_ms);
        let index = after.saturating_sub(1);
        self.samples.get(index).copied().unwrap_or(self.now)
    }
}
