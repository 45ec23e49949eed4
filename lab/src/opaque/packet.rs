//! The platform's packets, as its callers and backend servers write them.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) const HEADER_BYTES: usize = 32;
/// The most data in one packet, in bytes.
pub(crate) const MAX_DATA_BYTES: usize = 1_200;

pub(crate) const SYN: u8 = 128;
pub(crate) const ACK: u8 = 1;
pub(crate) const FIN: u8 = 4;
pub(crate) const RST: u8 = 16;
pub(crate) const BOUNCED: u8 = 2;

/// The key of the checksum, which only callers and backend servers have.
const SUM_KEY: u64 = 0x7365_6372_6574_0001;

/// One packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Packet {
    pub(crate) flags: u8,
    pub(crate) sequence: u32,
    pub(crate) acknowledgement: u32,
    pub(crate) source: SocketAddrV4,
    pub(crate) destination: SocketAddrV4,
    pub(crate) data: Vec<u8>,
}

/// What a receiver makes of bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Received {
    /// A packet as its sender wrote it.
    Whole(Packet),
    /// A reset that the system itself made.
    SystemReset(Packet),
    /// Something that nobody wrote so.
    Forged,
}

impl Packet {
    pub(crate) fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Writes the packet with its checksum.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![self.flags, 0, 0, 0, 0, 0];
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.acknowledgement.to_be_bytes());
        bytes.extend_from_slice(&self.sum().to_be_bytes());
        bytes.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        for end in [self.source, self.destination] {
            bytes.extend_from_slice(&end.ip().octets());
            bytes.extend_from_slice(&end.port().to_be_bytes());
        }
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Reads a packet and judges it by its checksum.
    pub(crate) fn decode(bytes: &[u8]) -> Received {
        if bytes.len() < HEADER_BYTES {
            return Received::Forged;
        }
        let word = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let end = |at: usize| SocketAddrV4::new(Ipv4Addr::from(word(at)), half(at + 4));
        let packet = Packet {
            flags: bytes[0] & !BOUNCED,
            sequence: word(6),
            acknowledgement: word(10),
            source: end(20),
            destination: end(26),
            data: bytes[HEADER_BYTES..].to_vec(),
        };
        let sum = word(14);
        if sum == packet.sum() && usize::from(half(18)) == packet.data.len() {
            return Received::Whole(packet);
        }
        if sum == 0 && packet.flags == RST && packet.data.is_empty() {
            return Received::SystemReset(packet);
        }
        Received::Forged
    }

    /// Sums everything but the system's own fields; never 0, which marks the system's resets.
    fn sum(&self) -> u32 {
        let mut bytes = vec![self.flags & !BOUNCED];
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.acknowledgement.to_be_bytes());
        bytes.extend_from_slice(self.source.to_string().as_bytes());
        bytes.extend_from_slice(self.destination.to_string().as_bytes());
        bytes.extend_from_slice(&self.data);
        (xxh3_64_with_seed(&bytes, SUM_KEY) as u32).max(1)
    }
}
