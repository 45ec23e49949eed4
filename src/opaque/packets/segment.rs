//! The packet headers of opaque flows, whose payload only their two ends can read.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::config::hash;
use crate::error::Result;

/// The length of a [`FlowKey`] on the wire.
pub(crate) const FLOW_KEY_BYTES: usize = 12;

/// The key of a flow: the caller's address and the service address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The address and port of the caller.
    pub caller: SocketAddrV4,
    /// The service address and port that the caller calls.
    pub called: SocketAddrV4,
}

impl FlowKey {
    /// Returns the hash by which all processes rank the candidates for this flow.
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

/// The decoded header of one packet of an opaque flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The sender.
    pub source: SocketAddrV4,
    /// The receiver.
    pub destination: SocketAddrV4,
    /// Whether it asks to open a flow.
    pub opens: bool,
    /// Whether it is a backend server's acceptance of a flow.
    pub accepts: bool,
    /// Whether it is the last packet of its sender.
    pub ends: bool,
    /// Whether it resets the flow.
    pub resets: bool,
    /// Whether the backend server returned it because it does not hold the flow.
    pub returned: bool,
    /// The sequence number of its first byte.
    pub sequence: u32,
    /// The next sequence number that its sender expects; for an opener, the number of this copy.
    pub acknowledgement: u32,
    /// The number of bytes of data that it carries.
    pub payload_bytes: u16,
    /// The mark that this process set before it sent the packet to its backend server.
    pub mark: u32,
}

impl Segment {
    /// Returns the sequence number after its last byte.
    pub(crate) fn end_sequence(&self) -> u32 {
        self.sequence.wrapping_add(self.payload_bytes.into())
    }

    /// Returns whether it ends its sender's data and carries none.
    ///
    /// A caller that still waits for an answer does not send such a packet.
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

/// The packet format of a platform, as functions that read and write packets.
#[derive(Debug, Clone, Copy)]
pub struct WireFormat {
    /// Reads the header of a packet.
    pub decode: fn(&[u8]) -> Result<Segment>,
    /// Writes a mark into a packet. A backend server that returns the packet keeps the mark.
    pub set_mark: fn(&mut [u8], u32),
    /// Restores a returned packet to the bytes that its caller sent.
    pub restore: fn(&mut [u8]),
    /// Reads the id of the request that begins in a packet, if readable. Used only for log lines.
    pub request_id: fn(&[u8]) -> Option<&str>,
    /// Reads the status of the answer that begins in a packet, if readable.
    pub status: fn(&[u8]) -> Option<u16>,
    /// Creates the packet that resets a flow towards its caller.
    pub reset: fn(&FlowKey, u32) -> Vec<u8>,
}
