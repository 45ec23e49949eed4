//! Which part of its requests an agent runs at peers, so that busy slots follow the table.
//!
//! Flows are level by admission, but their callers don't ask equally often. A request has no memory,
//! so it can move where a flow can't. See docs/DESIGN.md, "Busy slots".

use rand::Rng;

/// The part of the error that one adjustment makes up for.
const GAIN: f64 = 0.3;
/// The greatest part of the requests that moves.
const MAX_FRACTION: f64 = 0.5;
/// Busy slots below which nothing moves, since a slot more or less is chance.
const MIN_BUSY_SLOTS: f64 = 0.2;
/// The weight of the newest second in the mean of busy slots.
const WEIGHT_OF_NEW: f64 = 0.2;

/// One target's mean busy slots beside its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotLoad {
    /// The mean number of busy slots of the last seconds.
    pub busy_slots: f64,
    /// The weight that the target takes now.
    pub weight: f64,
}

/// The part of the requests that moves, adjusted once a second.
#[derive(Debug, Default)]
pub struct MovedFraction {
    busy_slots: f64,
    fraction: f64,
}

impl MovedFraction {
    /// Takes the mean number of busy slots of the last second.
    pub fn observe(&mut self, busy_slots: f64) {
        self.busy_slots += (busy_slots - self.busy_slots) * WEIGHT_OF_NEW;
    }

    /// Returns the mean number of busy slots of the last seconds.
    pub fn busy_slots(&self) -> f64 {
        self.busy_slots
    }

    /// Returns the part of the requests that moves.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Moves more while this target stands above the level of all, less while it stands below.
    ///
    /// What moves is already missing here, so the error is added up instead of applied anew.
    pub fn adjust(&mut self, weight: f64, peers: &[SlotLoad]) {
        let level = level(self.busy_slots, weight, peers) * weight;
        if self.busy_slots < MIN_BUSY_SLOTS || peers.is_empty() {
            self.fraction = 0.0;
            return;
        }
        let error = (self.busy_slots - level) / self.busy_slots;
        self.fraction = (self.fraction + GAIN * error).clamp(0.0, MAX_FRACTION);
    }

    /// Decides whether the next request moves.
    pub fn should_move(&self, random: &mut impl Rng) -> bool {
        self.fraction > 0.0 && random.random_range(0.0..1.0) < self.fraction
    }

    /// Draws the peer that takes it, each in proportion to what it lacks; returns its index.
    pub fn pick_peer(
        &self,
        weight: f64,
        peers: &[SlotLoad],
        random: &mut impl Rng,
    ) -> Option<usize> {
        let level = level(self.busy_slots, weight, peers);
        let lacks: Vec<f64> = peers
            .iter()
            .map(|peer| (level * peer.weight - peer.busy_slots).max(0.0))
            .collect();
        let total: f64 = lacks.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let mut point = random.random_range(0.0..total);
        lacks.iter().position(|lack| {
            point -= lack;
            point < 0.0
        })
    }
}

fn level(busy_slots: f64, weight: f64, peers: &[SlotLoad]) -> f64 {
    let busy: f64 = peers.iter().map(|peer| peer.busy_slots).sum();
    let weights: f64 = peers.iter().map(|peer| peer.weight).sum();
    (busy + busy_slots) / (weights + weight).max(f64::MIN_POSITIVE)
}
