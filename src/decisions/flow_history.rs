//! Recent samples of an agent's own openers and closed flows, used to extrapolate outdated reports
//! of peers.

use std::collections::VecDeque;

/// The minimum time between two samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// How long samples are retained, in milliseconds.
const RETENTION_MS: u64 = 30_000;
/// The number of standard deviations below which a growth is regarded as noise.
const NOISE_DEVIATIONS: f64 = 4.0;
/// The span over which the rate of openers is measured, in milliseconds.
const RATE_SPAN_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    at_ms: u64,
    owned: u64,
    closed: u64,
}

/// Counts of owned openers and closed flows, with samples of the past.
#[derive(Debug, Default)]
pub(crate) struct FlowHistory {
    now: Sample,
    samples: VecDeque<Sample>,
}

impl FlowHistory {
    /// Counts an opener whose owner is this agent, whichever agent takes it.
    pub(crate) fn record_owned_opener(&mut self, now_ms: u64) {
        self.sample(now_ms);
        self.now.owned += 1;
    }

    /// Counts a flow that has ended.
    pub(crate) fn record_closed_flow(&mut self) {
        self.now.closed += 1;
    }

    /// Returns by how many flows this target would have grown since `at_ms` without deflection.
    ///
    /// That is the owned openers less the closed flows, or 0 where noise explains the difference.
    pub(crate) fn growth_since(&self, at_ms: u64) -> f64 {
        let then = self.at(at_ms);
        let owned = (self.now.owned - then.owned) as f64;
        let closed = (self.now.closed - then.closed) as f64;
        let growth = owned - closed;
        let noise = NOISE_DEVIATIONS * (owned + closed).sqrt();
        if growth.abs() > noise { growth } else { 0.0 }
    }

    /// Returns the recent rate of owned openers, per millisecond.
    pub(crate) fn owned_per_ms(&self, now_ms: u64) -> f64 {
        let then = self.at(now_ms.saturating_sub(RATE_SPAN_MS));
        let span_ms = now_ms.saturating_sub(then.at_ms).max(SAMPLE_INTERVAL_MS);
        (self.now.owned - then.owned) as f64 / span_ms as f64
    }

    fn sample(&mut self, now_ms: u64) {
        self.now.at_ms = now_ms;
        let last_ms = self.samples.back().map_or(0, |sample| sample.at_ms);
        if !self.samples.is_empty() && now_ms < last_ms + SAMPLE_INTERVAL_MS {
            return;
        }
        self.samples.push_back(self.now);
        let oldest_ms = now_ms.saturating_sub(RETENTION_MS);
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
