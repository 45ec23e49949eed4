//! The envelope: a trailer that balancers and agents append to the datagrams they send each other.
//!
//! It follows the packet instead of preceding it, so that a balancer can forward a packet from the
//! buffer into which it was received. The tag authenticates the trailer and the first bytes of the
//! packet; QUIC itself protects the rest. See docs/DESIGN.md, "Envelope".

use std::hash::Hasher;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use siphasher::sip::SipHasher24;

use crate::code::Code;
use crate::config::keys::ClusterKey;
use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;
use crate::error::{Error, Result};
use crate::process::udp::MAX_TRAILER_BYTES;

/// The length of the trailer, in bytes.
pub const ENVELOPE_BYTES: usize = 46;
// A longer trailer would be truncated by the receiver's buffer.
const _: () = assert!(ENVELOPE_BYTES <= MAX_TRAILER_BYTES);

const VERSION: u8 = 1;
const TAG_BYTES: usize = 8;
/// The number of bytes at the start of a packet that the tag authenticates.
const AUTHENTICATED_PACKET_BYTES: usize = 64;

/// The direction and purpose of an envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum EnvelopeKind {
    /// From a caller to an agent.
    Inbound = 1,
    /// From an agent to a caller.
    Outbound = 2,
    /// An opener that its owner has deflected to another agent, which may only accept or return it.
    Deflected = 3,
    /// The sending balancer stops soon, so that no more answers may be sent through it.
    Leaving = 4,
    /// A deflected opener that is returned to its owner.
    Returned = 5,
}

/// The fields that are sent with a datagram between a balancer and an agent, or between agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// The direction and purpose.
    pub kind: EnvelopeKind,
    /// The service that the caller addressed.
    pub service: ServiceId,
    /// The caller's address as seen by the balancer.
    pub caller: SocketAddr,
    /// The balancer's host, to which answers are sent.
    pub balancer: Ipv4Addr,
    /// The highest configuration revision of the sender.
    pub revision: Revision,
}

/// The key under which envelopes are authenticated.
#[derive(Clone)]
pub struct EnvelopeKey([u8; 16]);

impl std::fmt::Debug for EnvelopeKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("EnvelopeKey(hidden)")
    }
}

impl EnvelopeKey {
    /// Derives the key from the cluster key.
    pub fn new(cluster: &ClusterKey) -> Self {
        Self(cluster.derive_short("envelope", ""))
    }

    fn tag(&self, packet: &[u8], fields: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(fields);
        hasher.write(&(packet.len() as u32).to_le_bytes());
        hasher.write(&packet[..packet.len().min(AUTHENTICATED_PACKET_BYTES)]);
        hasher.finish().to_le_bytes()
    }

    /// Appends the trailer to the packet in `buffer`.
    pub fn append(&self, buffer: &mut Vec<u8>, envelope: &Envelope) {
        let packet_bytes = buffer.len();
        let (ip, port) = (envelope.caller.ip(), envelope.caller.port());
        let ip = match ip {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        buffer.extend_from_slice(&ip.octets());
        buffer.extend_from_slice(&port.to_le_bytes());
        buffer.extend_from_slice(&envelope.balancer.octets());
        buffer.extend_from_slice(&envelope.service.0.to_le_bytes());
        buffer.extend_from_slice(&envelope.revision.bits().to_le_bytes());
        buffer.extend_from_slice(&[envelope.kind as u8, VERSION, 0, 0]);
        let (packet, fields) = buffer.split_at(packet_bytes);
        let tag = self.tag(packet, fields);
        buffer.extend_from_slice(&tag);
    }

    /// Checks the trailer and splits it from the packet.
    ///
    /// # Errors
    ///
    /// Returns code 4003 for a datagram without a trailer of this key, or with an unknown version
    /// or kind.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<(Envelope, &'a [u8])> {
        let forged = |what| Error::new(Code::EnvelopeForged, what);
        let packet_bytes = datagram.len().checked_sub(ENVELOPE_BYTES);
        let packet_bytes =
            packet_bytes.ok_or_else(|| forged("datagram shorter than the trailer"))?;
        let (packet, trailer) = datagram.split_at(packet_bytes);
        let (fields, tag) = trailer.split_at(ENVELOPE_BYTES - TAG_BYTES);
        if self.tag(packet, fields) != tag {
            return Err(forged("wrong authentication tag"));
        }
        let envelope = read_fields(fields).ok_or_else(|| forged("unknown version or kind"))?;
        Ok((envelope, packet))
    }
}

fn read_fields(fields: &[u8]) -> Option<Envelope> {
    let octets: [u8; 16] = fields[..16].try_into().ok()?;
    let ip = Ipv6Addr::from(octets).to_canonical();
    let port = u16::from_le_bytes(fields[16..18].try_into().ok()?);
    let balancer: [u8; 4] = fields[18..22].try_into().ok()?;
    let kind = match fields[34] {
        1 => EnvelopeKind::Inbound,
        2 => EnvelopeKind::Outbound,
        3 => EnvelopeKind::Deflected,
        4 => EnvelopeKind::Leaving,
        5 => EnvelopeKind::Returned,
        _ => return None,
    };
    if fields[35] != VERSION {
        return None;
    }
    Some(Envelope {
        kind,
        service: ServiceId(u32::from_le_bytes(fields[22..26].try_into().ok()?)),
        caller: SocketAddr::new(ip, port),
        balancer: balancer.into(),
        revision: u64::from_le_bytes(fields[26..34].try_into().ok()?).into(),
    })
}
