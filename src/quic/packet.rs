//! Parses the part of a QUIC packet that is readable without its keys (RFC 8999, RFC 9000 section
//! 17).

use crate::code::Code;
use crate::config::hash;
use crate::config::sealed_id::SEALED_ID_BYTES;
use crate::error::{Error, Result};

const LONG_HEADER: u8 = 0x80;
const VERSION_1: u32 = 1;
const TYPE_INITIAL: u8 = 0;
const TYPE_ZERO_RTT: u8 = 1;
/// The length of the shortest connection ID that a caller may choose for an opener (RFC 9000
/// section 7.2).
const MIN_OPENER_ID_BYTES: usize = 8;
/// The length of the longest connection ID in any QUIC version that the endpoints answer.
const MAX_ID_BYTES: usize = 20;

/// The fields of a packet that are needed to route it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketView<'a> {
    /// The destination connection ID.
    pub connection_id: &'a [u8],
    /// Whether the packet may open a flow. The caller may then have chosen its connection ID.
    pub may_open: bool,
}

impl PacketView<'_> {
    /// Returns the hash by which placement and admission identify the opener.
    pub fn opener_hash(&self) -> u64 {
        hash::bytes_hash(self.connection_id)
    }
}

/// Parses the destination connection ID of a packet and whether the packet may open a flow.
///
/// # Errors
///
/// Returns code 4001 for a packet that holds no complete connection ID or a connection ID of more
/// than 20 bytes.
pub fn parse(packet: &[u8]) -> Result<PacketView<'_>> {
    let short = |what| Error::new(Code::PacketShort, what);
    let first = *packet.first().ok_or_else(|| short("empty"))?;
    if first & LONG_HEADER == 0 {
        let connection_id = packet.get(1..1 + SEALED_ID_BYTES);
        let connection_id =
            connection_id.ok_or_else(|| short("short header without a complete connection ID"))?;
        return Ok(PacketView {
            connection_id,
            may_open: false,
        });
    }
    let version = packet
        .get(1..5)
        .ok_or_else(|| short("ends before the version"))?;
    let version = u32::from_be_bytes([version[0], version[1], version[2], version[3]]);
    let id_bytes = usize::from(
        *packet
            .get(5)
            .ok_or_else(|| short("ends before the connection ID length"))?,
    );
    if id_bytes > MAX_ID_BYTES {
        return Err(short("connection ID longer than 20 bytes"));
    }
    let connection_id = packet.get(6..6 + id_bytes);
    let connection_id = connection_id.ok_or_else(|| short("ends within the connection ID"))?;
    let packet_type = (first >> 4) & 0x3;
    let opens_flow = version != VERSION_1 || matches!(packet_type, TYPE_INITIAL | TYPE_ZERO_RTT);
    Ok(PacketView {
        connection_id,
        may_open: opens_flow && id_bytes >= MIN_OPENER_ID_BYTES,
    })
}
