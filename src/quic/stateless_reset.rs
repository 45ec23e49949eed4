//! Stateless resets (RFC 9000 section 10.3) for flows whose process is gone.

use rand::Rng;
use ring::hmac;

const RESET_TOKEN_BYTES: usize = 16;
const MIN_RESET_BYTES: usize = 21;
const MAX_RESET_BYTES: usize = 42;

/// Makes the packet that tells a caller at once that its flow has ended.
///
/// The token follows from the connection id and a key that all incarnations share, so any agent can
/// end a flow of an earlier one. Returns `None` for a packet so short that the answer could be
/// answered with a reset in turn.
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
