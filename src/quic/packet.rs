//! What can be read of a QUIC packet without its keys (RFC 8999, RFC 9000 section 17).

use crate::code::Code;
use crate::config::hash;
use crate::config::sealed_id::SEALED_ID_BYTES;
use crate::error::{Error, Result};

const LONG_HEADER: u8 = 0x80;
const VERSION_1: u32 = 1;
const TYPE_INITIAL: u8 = 0;
const TYPE_ZERO_RTT: u8 = 1;
/// The shortest connection id that a caller may choose for an opener (RFC 9000 section 7.2).
const MIN_OPENER_ID_BYTES: usize = 8;
/// The longest connection id that the invariants allow in a packet of any version we answer.
const MAX_ID_BYTES: usize = 20;

/// How a packet names its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketView<'a> {
    /// The destination connection id.
    pub id: &'a [u8],
    /// Whether the packet may open a flow, so that its id may be one that the caller chose.
    pub may_open: bool,
}

impl PacketView<'_> {
    /// Returns the hash that stands for the opener in placement and admission.
    pub fn opener_hash(&self) -> u64 {
        hash::bytes_hash(self.id)
    }
}

/// Reads the destination connection id of a packet.
///
/// # Errors
///
/// Returns code 4001 for what is too short to hold one.
pub fn parse(packet: &[u8]) -> Result<PacketView<'_>> {
    let short = |what| Error::new(Code::PacketShort, what);
    let first = *packet.first().ok_or_else(|| short("empty"))?;
    if first & LONG_HEADER == 0 {
        let id = packet.get(1..1 + SEALED_ID_BYTES);
        let id = id.ok_or_else(|| short("short header without a whole id"))?;
        return Ok(PacketView {
            id,
            may_open: false,
        });
    }
    let version = packet.get(1..5).ok_or_else(|| short("no version"))?;
    let version = u32::from_be_bytes([version[0], version[1], version[2], version[3]]);
    let id_bytes = usize::from(*packet.get(5).ok_or_else(|| short("no id length"))?);
    if id_bytes > MAX_ID_BYTES {
        return Err(short("id longer than 20 bytes"));
    }
    let id = packet.get(6..6 + id_bytes);
    let id = id.ok_or_else(|| short("truncated id"))?;
    let packet_type = (first >> 4) & 0x3;
    let opens = version != VERSION_1 || matches!(packet_type, TYPE_INITIAL | TYPE_ZERO_RTT);
    Ok(PacketView {
        id,
        may_open: opens && id_bytes >= MIN_OPENER_ID_BYTES,
    })
}
