//! Datagrams between balancers and agents: a caller's packet or a flow's name, and a trailer.
//!
//! The trailer stands behind the packet, so that the buffer into which the packet was received is
//! sent as it is. It is not authenticated: a forged one costs a detour, since only a backend server
//! decides whether it holds a flow, and what it takes is under the packet's own checksum.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::config::config_store::Digest;
use crate::error::{Error, Result};
use crate::process::udp::MAX_TRAILER_BYTES;

const VERSION: u8 = 1;
/// The bytes that [`Message::append`] adds.
pub(crate) const TRAILER_BYTES: usize = 30;
// What does not fit the buffer of a receiver would be cut off.
const _: () = assert!(TRAILER_BYTES <= MAX_TRAILER_BYTES);

/// What a datagram between two processes asks or says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// A caller's packet from a balancer, or from an agent that knows who holds its flow.
    Deliver = 1,
    /// A caller's opener from an agent that does not take it.
    HandOn = 2,
    /// An agent takes or holds this flow: send its packets there. Behind the flow may stand the load of the sender's
    /// backend server over ten seconds, in thousandths of a slot.
    Holds = 3,
    /// A caller's packet of a flow that the sender does not know: deliver it if it is held there.
    Find = 4,
    /// The answer to [`MessageKind::Find`]: the flow is held here.
    Found = 5,
    /// The answer to [`MessageKind::Find`]: the flow is not held here, for certain.
    Absent = 6,
    /// Asks for the receiver's revisions.
    Beat = 7,
    /// The answer to [`MessageKind::Beat`].
    BeatReply = 8,
    /// The sender's backend server runs and is not published: ask there too who holds a flow.
    Unlisted = 9,
    /// An attempt of this flow's caller has failed: its next opener is a retry.
    AttemptFailed = 10,
    /// The sender runs and holds these revisions: for a balancer that may have just started.
    Greeting = 11,
    /// The sender could take this flow and has more to do than others: offer it to another agent. Behind the flow
    /// stands a load as with [`MessageKind::Holds`]. Behind that may stand for how long a new flow would wait at the
    /// sender, in milliseconds, as may behind [`MessageKind::Holds`].
    Declined = 12,
    /// A caller's opener from a balancer, which offers it elsewhere if the receiver declines.
    Offer = 13,
}

/// The trailer of a datagram between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// What it asks or says.
    pub kind: MessageKind,
    /// How many agents have passed an opener on; 0 for [`MessageKind::Offer`], where the byte carries
    /// [`Message::max_wait_ms`].
    pub hops: u8,
    /// Whether the flow is known to have opened at the host that a [`MessageKind::Holds`] names, or at the receiver of a
    /// [`MessageKind::Deliver`]: its backend server showed that it held it. Then no other one can hold it.
    pub has_opened: bool,
    /// Of [`MessageKind::Offer`], the longest wait for which the receiver takes it, in milliseconds; rounded down to
    /// whole [`OFFER_WAIT_UNIT_MS`], of which 255 fit.
    pub max_wait_ms: u16,
    /// The balancer through which a packet came in; of [`MessageKind::Holds`], who holds the flow.
    pub host: Ipv4Addr,
    /// The sender's revisions.
    pub digest: Digest,
    /// How long ago the sender's revisions were known to be the newest, in milliseconds;
    /// [`UNKNOWN_AGE_MS`] while it can't find out.
    pub age_ms: u32,
    /// For how long the sender does not yet take a backend server that is not published for gone, in
    /// milliseconds, rounded up to the next [`SETTLE_UNIT_MS`].
    pub settle_remaining_ms: u16,
    /// The requests for each slot of the sender's backend server, over the last second, in
    /// thousandths; [`UNKNOWN_LOAD_PERMILLE`] from a process without one.
    ///
    /// An opener from a balancer tells the mean of its service's backend servers over the last ten seconds here,
    /// where it may be declined.
    pub load_permille: u16,
    /// Of an opener and of [`MessageKind::AttemptFailed`], for how long the caller has waited in attempts that
    /// failed, as far as known, in milliseconds; rounded down to whole [`WAIT_UNIT_MS`], of which 15 fit.
    pub waited_ms: u16,
}

/// The age that says that the sender has lost touch with the configuration service.
pub const UNKNOWN_AGE_MS: u32 = u32::MAX;

/// The load of a process that has no backend server beside it.
pub const UNKNOWN_LOAD_PERMILLE: u16 = u16::MAX;

/// The unit in which [`Message::settle_remaining_ms`] travels, in milliseconds.
pub(crate) const SETTLE_UNIT_MS: u16 = 20;

/// The unit in which [`Message::max_wait_ms`] travels, in milliseconds: 255 of them are more than any latency
/// objective for which openers are offered.
const OFFER_WAIT_UNIT_MS: u16 = 4;

/// The unit in which [`Message::waited_ms`] travels, in milliseconds: half of the first step between the ages
/// that an agent tells apart.
const WAIT_UNIT_MS: u16 = 100;
/// The bits of the byte of the kind that hold it; the wait stands above them, so that a process which does not
/// know it passes such a message over, and its sender's caller sends the opener again.
const KIND_BITS: u8 = 4;
const MAX_WAIT_UNITS: u16 = 0x0f;
/// The bit of the byte of the hops that tells [`Message::has_opened`]; a process that does not know it takes such a
/// message for one without.
const OPENED_BIT: u8 = 0x80;

impl Message {
    fn settle_units(&self) -> u8 {
        let units = self.settle_remaining_ms.div_ceil(SETTLE_UNIT_MS);
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    fn hops_or_wait(&self) -> u8 {
        if self.kind != MessageKind::Offer {
            return self.hops_and_opened();
        }
        let units = self.max_wait_ms / OFFER_WAIT_UNIT_MS;
        u8::try_from(units).unwrap_or(u8::MAX)
    }

    /// Returns the hops, and [`Message::has_opened`] above them.
    fn hops_and_opened(&self) -> u8 {
        self.hops | if self.has_opened { OPENED_BIT } else { 0 }
    }

    fn kind_and_wait(&self) -> u8 {
        let units = (self.waited_ms / WAIT_UNIT_MS).min(MAX_WAIT_UNITS);
        (units as u8) << KIND_BITS | self.kind as u8
    }

    /// Makes a message without a host and without load.
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
            self.kind_and_wait(),
            self.hops_or_wait(),
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
    /// Returns code 4009 for a datagram that no process of this version sent.
    pub fn split(datagram: &[u8]) -> Result<(&[u8], Message)> {
        let malformed = || Error::new(Code::MessageMalformed, format!("{} bytes", datagram.len()));
        let at = datagram.len().checked_sub(TRAILER_BYTES);
        let (payload, trailer) = datagram.split_at(at.ok_or_else(malformed)?);
        let kind = kind_of(trailer[1] & ((1 << KIND_BITS) - 1)).filter(|_| trailer[0] == VERSION);
        let kind = kind.ok_or_else(malformed)?;
        let (hops, has_opened, wait_units) = match kind {
            MessageKind::Offer => (0, false, trailer[2]),
            _ => (trailer[2] & !OPENED_BIT, trailer[2] & OPENED_BIT != 0, 0),
        };
        let word = |at: usize| u64::from_be_bytes(trailer[at..at + 8].try_into().unwrap_or([0; 8]));
        let half = |at: usize| u16::from_be_bytes([trailer[at], trailer[at + 1]]);
        Ok((
            payload,
            Message {
                kind,
                hops,
                has_opened,
                max_wait_ms: u16::from(wait_units) * OFFER_WAIT_UNIT_MS,
                host: Ipv4Addr::new(trailer[4], trailer[5], trailer[6], trailer[7]),
                digest: Digest {
                    highest: word(8).into(),
                    hash: word(16),
                },
                age_ms: (u32::from(half(24)) << 16) | u32::from(half(26)),
                settle_remaining_ms: u16::from(trailer[3]) * SETTLE_UNIT_MS,
                load_permille: half(28),
                waited_ms: u16::from(trailer[1] >> KIND_BITS) * WAIT_UNIT_MS,
            },
        ))
    }
}

fn kind_of(byte: u8) -> Option<MessageKind> {
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
