//! Stateless resets (RFC 9000 section 10.3) for flows whose process has ended.

use rand::Rng;
use ring::hmac;

const RESET_TOKEN_BYTES: usize = 16;
/// A shorter packet would not be recognized as a stateless reset (RFC 9000 section 10.3).
const MIN_RESET_BYTES: usize = 21;
const MAX_RESET_BYTES: usize = 42;

/// Creates a stateless reset, by which the caller ends its flow without waiting for a timeout.
///
/// The reset token is derived from the connection ID and a key that all incarnations share, so that
/// any agent can reset a flow of an earlier one. The reset is shorter than the received packet.
/// Returns `None` for a packet so short that two endpoints could answer each other's resets
/// forever.
pub(crate) fn stateless_reset(
    key: &hmac::Key,
    connection_id: &[u8],
    received_bytes: usize,
    random: &mut impl Rng,
) -> Option<Vec<u8>> {
    let bytes = received_bytes.saturating_sub(1).min(MAX_RESET_BYTES);
    if bytes < MIN_RESET_BYTES {
        return None;
    }
    let mut packet = vec![0; bytes];
    random.fill(packet.as_mut_slice());
    packet[0] = 0x40 | (packet[0] & 0x3f);
    let signature = hmac::sign(key, connection_id);
    packet[bytes - RESET_TOKEN_BYTES..].copy_from_slice(&signature.as_ref()[..RESET_TOKEN_BYTES]);
    Some(packet)
}
