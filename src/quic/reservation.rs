//! A slot that is reserved for a request of a peer.

use crate::config::sealed_id::SealedBytes;
use crate::decisions::slot_queue::SlotGuard;

/// A slot that is reserved for an accepted offer until it expires.
pub(crate) struct Reservation {
    pub(crate) ticket: SealedBytes,
    pub(crate) slot: SlotGuard,
    pub(crate) expires_ms: u64,
}
