//! The fraction of its requests that an agent moves to peers, so that busy slots follow the weights
//! of the table.
//!
//! Admission balances flows, but some callers send more requests than others. A flow stays where it
//! is, but a request has no state and can be moved. See docs/DESIGN.md, "Busy slots".

use rand::Rng;

/// The part of the error that one adjustment corrects.
const GAIN: f64 = 0.3;
/// The largest fraction of the requests that is moved.
const MAX_FRACTION: f64 = 0.5;
/// The number of busy slots below which nothing is moved: there, a difference of one slot is noise.
const MIN_BUSY_SLOTS: f64 = 0.2;
/// The weight of the newest second in the mean of busy slots.
const NEWEST_WEIGHT: f64 = 0.2;

/// One target's mean number of busy slots and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotLoad {
    /// The mean number of busy slots of the last seconds.
    pub busy_slots: f64,
    /// The weight that the target takes now.
    pub weight: f64,
}

/// The fraction of the requests that is moved, adjusted once a second.
#[derive(Debug, Default)]
pub struct MovedFraction {
    busy_slots: f64,
    fraction: f64,
}

impl MovedFraction {
    /// Adds the mean number of busy slots of the last second to the moving mean.
    pub fn observe(&mut self, busy_slots: f64) {
        self.busy_slots += (busy_slots - self.busy_slots) * NEWEST_WEIGHT;
    }

    /// Returns the mean number of busy slots of the last seconds.
    pub fn busy_slots(&self) -> f64 {
        self.busy_slots
    }

    /// Returns the fraction of the requests that is moved.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Increases the fraction while this target is above the mean of all targets, and decreases it
    /// while the target is below.
    ///
    /// The observed busy slots no longer include the moved requests, so that the error is added to
    /// the current fraction.
    pub fn adjust(&mut self, weight: f64, peers: &[SlotLoad]) {
        let expected = mean_per_weight(self.busy_slots, weight, peers) * weight;
        if self.busy_slots < MIN_BUSY_SLOTS || peers.is_empty() {
            self.fraction = 0.0;
            return;
        }
        let error = (self.busy_slots - expected) / self.busy_slots;
        self.fraction = (self.fraction + GAIN * error).clamp(0.0, MAX_FRACTION);
    }

    /// Decides at random whether the next request is moved.
    pub fn should_move(&self, random: &mut impl Rng) -> bool {
        self.fraction > 0.0 && random.random_range(0.0..1.0) < self.fraction
    }

    /// Draws the peer for a moved request and returns its index.
    ///
    /// The probability of a peer is proportional to the number of busy slots by which it is below
    /// the mean.
    pub fn pick_peer(
        &self,
        weight: f64,
        peers: &[SlotLoad],
        random: &mut impl Rng,
    ) -> Option<usize> {
        let mean = mean_per_weight(self.busy_slots, weight, peers);
        let lacking_slots: Vec<f64> = peers
            .iter()
            .map(|peer| (mean * peer.weight - peer.busy_slots).max(0.0))
            .collect();
        let total: f64 = lacking_slots.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = random.random_range(0.0..total);
        lacking_slots.iter().position(|lacking| {
            point -= lacking;
            point < 0.0
        })
    }
}

/// Returns the mean number of busy slots per weight of all targets.
fn mean_per_weight(busy_slots: f64, weight: f64, peers: &[SlotLoad]) -> f64 {
    let busy: f64 = peers.iter().map(|peer| peer.busy_slots).sum();
    let weights: f64 = peers.iter().map(|peer| peer.weight).sum();
    (busy + busy_slots) / (weights + weight).max(f64::MIN_POSITIVE)
}
