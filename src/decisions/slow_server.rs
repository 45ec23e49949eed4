//! By how much a backend server that works slower than usual is further away for an opener.
//!
//! The load that this answers is that of [`crate::decisions::pace_watch`]. New flows go where they would be answered
//! first, so that a slow server is the last choice and still one, also where all are slow. Flows that are open there
//! stay: how long a few requests took is no proof that a server which serves them should lose one.

/// The part of what a request takes longer that an opener should avoid: told whole, slots that could still answer in
/// time would stand idle while others queue.
const EXTRA_PART: f64 = 0.5;

/// Returns by how much further away than its wait says a backend server is whose requests take `service_ms` now, and
/// `slower` times as long as usual, in milliseconds.
pub fn extra_ms(service_ms: f64, slower: f64) -> f64 {
    EXTRA_PART * (service_ms - service_ms / slower.max(1.0))
}
