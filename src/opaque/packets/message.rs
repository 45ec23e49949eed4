//! Datagrams between balancers and agents: a caller's packet or a flow key, followed by a trailer.
//!
//! The trailer follows the packet, so that the buffer into which the packet was received can be sent
//! without a copy. It is not authenticated. A forged one costs a detour at most: only the backend
//! server decides whether it holds a flow, and the packet's own checksum protects what it accepts.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::config::config_store::Digest;
use crate::error::{Error, Result};
use crate::process::udp::MAX_TRAILER_BYTES;

const VERSION: u8 = 1;
/// The length of the trailer that [`Message::append`] adds.
pub(crate) const TRAILER_BYTES: usize = 30;
// A longer trailer would be cut off by the receiver's buffer.
const _: () = assert!(TRAILER_BYTES <= MAX_TRAILER_BYTES);

/// The kind of a datagram between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// A caller's packet, from a balancer or from an agent that knows the holder of its flow.
    Deliver = 1,
    /// A caller's opener, from an agent that does not take it.
    HandOn = 2,
    /// The agent on [`Message::host`] took the opener of this flow or holds the flow. Packets of the
    /// flow are sent there from now on.
    ///
    /// The flow key may be followed by the load of the sender's backend server over ten seconds, in
    /// thousandths of a slot, and that by the time a new flow would wait at the sender, in
    /// milliseconds.
    Holds = 3,
    /// A caller's packet of a flow that the sender does not know, to be delivered if the flow is held
    /// at the receiver.
    Find = 4,
    /// The answer to [`MessageKind::Find`] if the flow is held at the sender.
    Found = 5,
    /// The answer to [`MessageKind::Find`] if the flow is certainly not held at the sender.
    Absent = 6,
    /// A heartbeat that asks for the receiver's revisions.
    Beat = 7,
    /// The answer to [`MessageKind::Beat`].
    BeatReply = 8,
    /// The sender's backend server runs but is not published. Lookups must include the sender.
    Unlisted = 9,
    /// An attempt of this flow's caller has failed, so that its next opener is a retry.
    AttemptFailed = 10,
    /// The sender runs and holds these revisions. Sent to balancers that may have just started.
    Greeting = 11,
    /// The sender declines this opener, so that the balancer sends it to another agent.
    ///
    /// The flow key is followed by a load, and may be followed by a wait, as in [`MessageKind::Holds`].
    Declined = 12,
    /// A caller's opener, from a balancer that offers it to another agent if the receiver declines.
    Offer = 13,
}

/// The trailer of a datagram between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// The kind of the message.
    pub kind: MessageKind,
    /// The number of agents that have handed an opener on; 0 for [`MessageKind::Offer`], where the byte
    /// carries [`Message::max_wait_ms`].
    pub hops: u8,
    /// Whether the flow is known to have opened at [`Message::host`] of a [`MessageKind::Holds`], or at
    /// the receiver of a [`MessageKind::Deliver`].
    ///
    /// The backend server there proved that it held the flow, so that no other one can hold it.
    pub has_opened: bool,
    /// For [`MessageKind::Offer`], the longest expected wait at which the receiver takes the opener, in
    /// milliseconds; rounded down to whole [`MAX_WAIT_UNIT_MS`], of which 255 fit.
    pub max_wait_ms: u16,
    /// The balancer that received the packet from its caller; for [`MessageKind::Holds`], the holder of
    /// the flow.
    pub host: Ipv4Addr,
    /// The sender's revisions.
    pub digest: Digest,
    /// The time since the sender's revisions were known to be the newest, in milliseconds;
    /// [`UNKNOWN_AGE_MS`] while the sender can't reach the configuration service.
    pub age_ms: u32,
    /// The time until the sender is settled, in milliseconds, rounded up to the next [`SETTLE_UNIT_MS`].
    ///
    /// Until then it does not assume that a backend server which is not published is gone.
    pub settle_remaining_ms: u16,
    /// The load of the sender's backend server over the last second, as requests for each slot in
    /// thousandths; [`UNKNOWN_LOAD_PERMILLE`] from a process without a backend server.
    ///
    /// For an opener that the receiver may decline, the mean load of the service's backend
    /// servers over the last ten seconds.
    pub load_permille: u16,
    /// For an opener and for [`MessageKind::AttemptFailed`], how long the caller has waited in failed
    /// attempts, as far as known, in milliseconds; rounded down to whole [`WAITED_UNIT_MS`], of which 15
    /// fit.
    pub waited_ms: u16,
}

/// The age sent by a process that has lost its connection to the configuration service.
pub const UNKNOWN_AGE_MS: u32 = u32::MAX;

/// The load sent by a process without a backend server.
pub const UNKNOWN_LOAD_PERMILLE: u16 = u16::MAX;

/// The unit of [`Message::settle_remaining_ms`] in the trailer, in milliseconds.
pub(crate) const SETTLE_UNIT_MS: u16 = 20;

/// The unit of [`Message::max_wait_ms`] in the trailer, in milliseconds. 255 units are more than any
/// latency objective for which openers are offered.
const MAX_WAIT_UNIT_MS: u16 = 4;

/// The unit of [`Message::waited_ms`] in the trailer, in milliseconds: half of the first step between
/// the opener ages that an agent distinguishes.
const WAITED_UNIT_MS: u16 = 100;
/// The number of low bits of the kind byte that hold the kind. The high bits hold
/// [`Message::waited_ms`].
///
/// A process of a version without this field ignores messages that have it, and the caller sends its
/// opener again.
const KIND_BITS: u8 = 4;
const MAX_WAITED_UNITS: u16 = 0x0f;
/// The bit of the hops byte that holds [`Message::has_opened`]. A process of a version without this
/// field reads it as unset.
const OPENED_BIT: u8 = 0x80;

impl Message {
    fn settle_units(&self) -> u8 {
        let units = self.settle_remaining_ms.div_ceil(SETTLE_UNIT_MS);
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    fn hops_or_max_wait(&self) -> u8 {
        if self.kind != MessageKind::Offer {
            return self.hops_with_opened_bit();
        }
        let units = self.max_wait_ms / MAX_WAIT_UNIT_MS;
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    /// Returns the hops byte with [`Message::has_opened`] in its high bit.
    fn hops_with_opened_bit(&self) -> u8 {
        self.hops | if self.has_opened { OPENED_BIT } else { 0 }
    }

    fn kind_with_waited(&self) -> u8 {
        let units = (self.waited_ms / WAITED_UNIT_MS).min(MAX_WAITED_UNITS);
        (units as u8) << KIND_BITS | self.kind as u8
    }

    /// Creates a message without a host and without a load.
    pub fn new(kind: MessageKind) -> Self {
        Self {
            kind,
            hops: 0,
            has_opened: false,
            max_wait_ms: 0,
            host: Ipv4Addr::UNSPECIFIED,
            digest: Digest::default(),
            age_ms: UNKNOWN_AGE_MS,
            settle_remaining_ms: 0,
            load_permille: UNKNOWN_LOAD_PERMILLE,
            waited_ms: 0,
        }
    }

    /// Appends the trailer to a payload.
    pub fn append(&self, payload: &mut Vec<u8>) {
        payload.extend_from_slice(&[
            VERSION,
            self.kind_with_waited(),
            self.hops_or_max_wait(),
            self.settle_units(),
        ]);
        payload.extend_from_slice(&self.host.octets());
        payload.extend_from_slice(&self.digest.highest.bits().to_be_bytes());
        payload.extend_from_slice(&self.digest.hash.to_be_bytes());
        payload.extend_from_slice(&self.age_ms.to_be_bytes());
        payload.extend_from_slice(&self.load_permille.to_be_bytes());
    }

    /// Splits a datagram into its payload and its trailer.
    ///
    /// # Errors
    ///
    /// Returns code 4009 if the datagram is not a message of this version.
    pub fn split(datagram: &[u8]) -> Result<(&[u8], Message)> {
        let malformed = || {
            Error::new(
                Code::MessageMalformed,
                format!("a datagram of {} bytes", datagram.len()),
            )
        };
        let at = datagram.len().checked_sub(TRAILER_BYTES);
        let (payload, trailer) = datagram.split_at(at.ok_or_else(malformed)?);
        let kind =
            decode_kind(trailer[1] & ((1 << KIND_BITS) - 1)).filter(|_| trailer[0] == VERSION);
        let kind = kind.ok_or_else(malformed)?;
        let (hops, has_opened, max_wait_units) = match kind {
            MessageKind::Offer => (0, false, trailer[2]),
            _ => (trailer[2] & !OPENED_BIT, trailer[2] & OPENED_BIT != 0, 0),
        };
        let u64_at =
            |at: usize| u64::from_be_bytes(trailer[at..at + 8].try_into().unwrap_or([0; 8]));
        let u16_at = |at: usize| u16::from_be_bytes([trailer[at], trailer[at + 1]]);
        Ok((
            payload,
            Message {
                kind,
                hops,
                has_opened,
                max_wait_ms: u16::from(max_wait_units) * MAX_WAIT_UNIT_MS,
                host: Ipv4Addr::new(trailer[4], trailer[5], trailer[6], trailer[7]),
                digest: Digest {
                    highest: u64_at(8).into(),
                    hash: u64_at(16),
                },
                age_ms: (u32::from(u16_at(24)) << 16) | u32::from(u16_at(26)),
                settle_remaining_ms: u16::from(trailer[3]) * SETTLE_UNIT_MS,
                load_permille: u16_at(28),
                waited_ms: u16::from(trailer[1] >> KIND_BITS) * WAITED_UNIT_MS,
            },
        ))
    }
}

fn decode_kind(byte: u8) -> Option<MessageKind> {
    let kinds = [
        MessageKind::Deliver,
        MessageKind::HandOn,
        MessageKind::Holds,
        MessageKind::Find,
        MessageKind::Found,
        MessageKind::Absent,
        MessageKind::Beat,
        MessageKind::BeatReply,
        MessageKind::Unlisted,
        MessageKind::AttemptFailed,
        MessageKind::Greeting,
        MessageKind::Declined,
        MessageKind::Offer,
    ];
    kinds.into_iter().find(|kind| *kind as u8 == byte)
}
