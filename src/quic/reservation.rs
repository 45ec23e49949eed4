//! A slot that waits for a request of a peer.

use crate::decisions::slot_queue::SlotGuard;
use crate::quic::sealed_id::SealedBytes;

/// A slot held for an accepted offer.
pub(crate) struct Reservation {
    pub(crate) ticket: SealedBytes,
    pub(crate) slot: SlotGuard,
    pub(crate) expires_ms: u64,
}
