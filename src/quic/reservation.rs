//! A slot that waits for a request of a peer.

use crate::config::sealed_id::SealedBytes;
use crate::decisions::slot_queue::SlotGuard;

/// A slot held for an accepted offer.
pub(crate) struct Reservation {
    pub(crate) ticket: SealedBytes,
    pub(crate) slot: SlotGuard,
    pub(crate) expires_ms: u64,
}
