//! The platform's packets, as callers and backend servers write and check them.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) const HEADER_BYTES: usize = 32;
/// The maximum length of the data in one packet, in bytes.
pub(crate) const MAX_DATA_BYTES: usize = 1_200;

pub(crate) const SYN: u8 = 128;
pub(crate) const ACK: u8 = 1;
pub(crate) const FIN: u8 = 4;
pub(crate) const RST: u8 = 16;
pub(crate) const BOUNCED: u8 = 2;

/// The key of the checksum, which callers and backend servers share and the load balancer lacks.
const CHECKSUM_KEY: u64 = 0x7365_6372_6574_0001;

/// A decoded packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Packet {
    pub(crate) flags: u8,
    pub(crate) sequence: u32,
    pub(crate) acknowledgement: u32,
    pub(crate) source: SocketAddrV4,
    pub(crate) destination: SocketAddrV4,
    pub(crate) data: Vec<u8>,
}

/// The result of decoding a received datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DecodedPacket {
    /// A packet with a valid checksum.
    Valid(Packet),
    /// A reset that the load balancer created.
    LoadBalancerReset(Packet),
    /// Anything else: a malformed or changed packet.
    Invalid,
}

impl Packet {
    /// Returns whether all of these flags are set.
    pub(crate) fn has_flags(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Encodes the packet with its checksum.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, 0, 0, 0, 0, 0];
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.acknowledgement.to_be_bytes());
        bytes.extend_from_slice(&self.checksum().to_be_bytes());
        bytes.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        for end in [self.source, self.destination] {
            bytes.extend_from_slice(&end.ip().octets());
            bytes.extend_from_slice(&end.port().to_be_bytes());
        }
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a datagram and verifies its checksum.
    pub(crate) fn decode(bytes: &[u8]) -> DecodedPacket {
        if bytes.len() < HEADER_BYTES {
            return DecodedPacket::Invalid;
        }
        let read_u32 = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let read_u16 = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let read_address =
            |at: usize| SocketAddrV4::new(Ipv4Addr::from(read_u32(at)), read_u16(at + 4));
        let packet = Packet {
            flags: bytes[0] & !BOUNCED,
            sequence: read_u32(6),
            acknowledgement: read_u32(10),
            source: read_address(20),
            destination: read_address(26),
            data: bytes[HEADER_BYTES..].to_vec(),
        };
        let checksum = read_u32(14);
        if checksum == packet.checksum() && usize::from(read_u16(18)) == packet.data.len() {
            return DecodedPacket::Valid(packet);
        }
        if checksum == 0 && packet.flags == RST && packet.data.is_empty() {
            return DecodedPacket::LoadBalancerReset(packet);
        }
        DecodedPacket::Invalid
    }

    /// Returns the checksum of all fields but those of the load balancer. It is never 0, which marks
    /// the resets of the load balancer.
    fn checksum(&self) -> u32 {
        let mut bytes = vec![self.flags & !BOUNCED];
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.acknowledgement.to_be_bytes());
        bytes.extend_from_slice(self.source.to_string().as_bytes());
        bytes.extend_from_slice(self.destination.to_string().as_bytes());
        bytes.extend_from_slice(&self.data);
        (xxh3_64_with_seed(&bytes, CHECKSUM_KEY) as u32).max(1)
    }
}
