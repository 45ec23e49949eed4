//! Sealed ids: routing tokens in connection ids, and tickets of requests that may run only once.
//!
//! Both identify an agent and its incarnation, encrypted so that callers can neither read nor forge
//! them. One cipher block holds all fields. The service id in it is compared with the expected one,
//! so that a guessed id passes with a probability of 2^-32. See docs/DESIGN.md, "Routing token".

use std::net::Ipv4Addr;

use aes::Aes128;
use aes::cipher::{BlockDecrypt, BlockEncrypt};

use crate::config::keys::KeyRing;
use crate::config::service_id::ServiceId;

/// The length of a sealed id, in bytes: the longest connection id that QUIC version 1 allows.
pub const SEALED_ID_BYTES: usize = 20;

/// The offset of the cipher block; the epoch and three plaintext bytes precede it.
const BLOCK_START: usize = 4;

/// A sealed id as it is sent.
pub type SealedBytes = [u8; SEALED_ID_BYTES];

/// The kind of a sealed id; each kind has its own key, so that an id of one kind does not open as
/// the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealedIdKind {
    /// A routing token in a connection id.
    Token,
    /// A ticket for a request that may run only once.
    Ticket,
}

/// The fields of a routing token or ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SealedId {
    /// The host of the agent that issued the id.
    pub host: Ipv4Addr,
    /// The incarnation of that agent.
    pub incarnation: u32,
    /// The service for which the id was issued.
    pub service: ServiceId,
    /// Distinguishes the ids of one incarnation: random in a token, a counter in a ticket.
    pub nonce: u32,
}

impl SealedId {
    /// Encrypts the fields; `plaintext` are three more bytes, not encrypted, that keep connection
    /// ids distinct.
    pub fn seal(&self, key_ring: &KeyRing, kind: SealedIdKind, plaintext: [u8; 3]) -> SealedBytes {
        let keys = key_ring.sealing_keys();
        let mut bytes = [0; SEALED_ID_BYTES];
        bytes[0] = keys.epoch;
        bytes[1..BLOCK_START].copy_from_slice(&plaintext);
        let mut block = [0; 16];
        block[..4].copy_from_slice(&self.host.octets());
        block[4..8].copy_from_slice(&self.incarnation.to_le_bytes());
        block[8..12].copy_from_slice(&self.service.0.to_le_bytes());
        block[12..].copy_from_slice(&self.nonce.to_le_bytes());
        cipher(keys, kind).encrypt_block((&mut block).into());
        bytes[BLOCK_START..].copy_from_slice(&block);
        bytes
    }

    /// Decrypts an id; `None` if it was not sealed for `service` with a known key.
    pub fn open(
        key_ring: &KeyRing,
        kind: SealedIdKind,
        service: ServiceId,
        bytes: &[u8],
    ) -> Option<SealedId> {
        if bytes.len() != SEALED_ID_BYTES {
            return None;
        }
        let keys = key_ring.get(bytes[0])?;
        let mut block = [0; 16];
        block.copy_from_slice(&bytes[BLOCK_START..]);
        cipher(keys, kind).decrypt_block((&mut block).into());
        let read_u32 = |at: usize| {
            u32::from_le_bytes([block[at], block[at + 1], block[at + 2], block[at + 3]])
        };
        let id = SealedId {
            host: Ipv4Addr::new(block[0], block[1], block[2], block[3]),
            incarnation: read_u32(4),
            service: ServiceId(read_u32(8)),
            nonce: read_u32(12),
        };
        (id.service == service).then_some(id)
    }
}

fn cipher(keys: &crate::config::keys::EpochKeys, kind: SealedIdKind) -> &Aes128 {
    match kind {
        SealedIdKind::Token => &keys.token,
        SealedIdKind::Ticket => &keys.ticket,
    }
}
