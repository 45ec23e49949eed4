//! What the product sees of a packet whose flow only its two ends can read.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::config::hash;
use crate::error::Result;

/// The bytes of a [`FlowKey`] on the wire.
pub(crate) const FLOW_KEY_BYTES: usize = 12;

/// Identifies a flow: the caller's end and the service address that it calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The address and port of the caller's end.
    pub caller: SocketAddrV4,
    /// The address and port that the caller calls.
    pub called: SocketAddrV4,
}

impl FlowKey {
    /// Returns the hash by which all processes order candidates for this flow.
    pub fn hash(&self) -> u64 {
        hash::bytes_hash(&self.to_bytes())
    }

    pub(crate) fn to_bytes(self) -> [u8; FLOW_KEY_BYTES] {
        let mut bytes = [0; FLOW_KEY_BYTES];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.called.ip().octets());
        bytes[10..].copy_from_slice(&self.called.port().to_be_bytes());
        bytes
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<FlowKey> {
        let bytes: [u8; FLOW_KEY_BYTES] = bytes.try_into().ok()?;
        let end = |at: usize| {
            let address = Ipv4Addr::new(bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]);
            SocketAddrV4::new(address, u16::from_be_bytes([bytes[at + 4], bytes[at + 5]]))
        };
        Some(FlowKey {
            caller: end(0),
            called: end(6),
        })
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.called)
    }
}

/// One packet of an opaque flow, as far as its header tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Who sent it.
    pub source: SocketAddrV4,
    /// For whom it is.
    pub destination: SocketAddrV4,
    /// Whether it asks to open a flow.
    pub opens: bool,
    /// Whether a backend server accepts a flow with it.
    pub accepts: bool,
    /// Whether its sender sends nothing after it.
    pub ends: bool,
    /// Whether it breaks the flow off.
    pub resets: bool,
    /// Whether the backend server handed it back because it does not hold the flow.
    pub returned: bool,
    /// The number of its first byte.
    pub sequence: u32,
    /// The next number that its sender expects; for an opener, which copy of it this is.
    pub acknowledgement: u32,
    /// How many bytes of data it carries.
    pub payload_bytes: u16,
    /// The mark that this process wrote before it handed the packet to its backend server.
    pub mark: u32,
}

impl Segment {
    /// Returns the number after its last byte.
    pub(crate) fn end_sequence(&self) -> u32 {
        self.sequence.wrapping_add(self.payload_bytes.into())
    }

    /// Tells whether it ends its sender's data without bringing any: who still waits for an answer ends nothing.
    pub(crate) fn ends_without_data(&self) -> bool {
        self.ends && self.payload_bytes == 0
    }

    /// Returns the flow of a packet that a caller sent.
    pub fn flow_from_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            called: self.destination,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    pub fn flow_from_backend(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            called: self.source,
        }
    }
}

/// How packets look on the wire; the product decides, this only reads and writes.
#[derive(Debug, Clone, Copy)]
pub struct WireFormat {
    /// Reads the header of a packet.
    pub decode: fn(&[u8]) -> Result<Segment>,
    /// Writes a mark into a packet, which a backend server that returns it keeps.
    pub set_mark: fn(&mut [u8], u32),
    /// Takes out what a returned packet gained on its way, so that it is again as it was sent.
    pub restore: fn(&mut [u8]),
    /// Reads the id of the request that begins in a packet, if it shows; for log lines only.
    pub request_id: fn(&[u8]) -> Option<&str>,
    /// Reads the status of the answer that begins in a packet, if it shows; for log lines only.
    pub status: fn(&[u8]) -> Option<u16>,
    /// Makes the packet that ends a flow towards its caller.
    pub reset: fn(&FlowKey, u32) -> Vec<u8>,
}
