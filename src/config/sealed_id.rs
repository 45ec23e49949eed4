//! Sealed ids: routing tokens in connection ids, and tickets of requests that may run once.
//!
//! Both say which incarnation of which agent is meant, in a form that callers can neither read nor
//! make. One cipher block holds the fields; the service stands in it as the check, so that a guess
//! passes with a probability of 2^-32. See docs/DESIGN.md, "Routing token".

use std::net::Ipv4Addr;

use aes::Aes128;
use aes::cipher::{BlockDecrypt, BlockEncrypt};

use crate::config::keys::KeyRing;
use crate::config::service_id::ServiceId;

/// The length of a sealed id, in bytes: the longest connection id that QUIC version 1 allows.
pub const SEALED_ID_BYTES: usize = 20;

const BLOCK_START: usize = 4;

/// A sealed id as it travels.
pub type SealedBytes = [u8; SEALED_ID_BYTES];

/// What the id is for; each purpose has its own key, so that one never passes as the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealedIdKind {
    /// A routing token in a connection id.
    Token,
    /// A ticket for a request that may not be repeated.
    Ticket,
}

/// The fields of a routing token or ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SealedId {
    /// The host whose agent issued it.
    pub host: Ipv4Addr,
    /// The incarnation of that agent.
    pub incarnation: u32,
    /// The service for which it was issued.
    pub service: ServiceId,
    /// What tells ids of one incarnation apart: random in a token, counted in a ticket.
    pub nonce: u32,
}

impl SealedId {
    /// Seals the fields; `clear` are three more bytes that keep connection ids distinct.
    pub fn seal(&self, ring: &KeyRing, purpose: SealedIdKind, clear: [u8; 3]) -> SealedBytes {
        let keys = ring.sealing();
        let mut bytes = [0; SEALED_ID_BYTES];
        bytes[0] = keys.epoch;
        bytes[1..BLOCK_START].copy_from_slice(&clear);
        let mut block = [0; 16];
        block[..4].copy_from_slice(&self.host.octets());
        block[4..8].copy_from_slice(&self.incarnation.to_le_bytes());
        block[8..12].copy_from_slice(&self.service.0.to_le_bytes());
        block[12..].copy_from_slice(&self.nonce.to_le_bytes());
        cipher(keys, purpose).encrypt_block((&mut block).into());
        bytes[BLOCK_START..].copy_from_slice(&block);
        bytes
    }

    /// Opens an id, or returns `None` where it is not one that was sealed for `service`.
    pub fn open(
        ring: &KeyRing,
        purpose: SealedIdKind,
        service: ServiceId,
        bytes: &[u8],
    ) -> Option<SealedId> {
        if bytes.len() != SEALED_ID_BYTES {
            return None;
        }
        let keys = ring.get(bytes[0])?;
        let mut block = [0; 16];
        block.copy_from_slice(&bytes[BLOCK_START..]);
        cipher(keys, purpose).decrypt_block((&mut block).into());
        let word = |at: usize| {
            u32::from_le_bytes([block[at], block[at + 1], block[at + 2], block[at + 3]])
        };
        let id = SealedId {
            host: Ipv4Addr::new(block[0], block[1], block[2], block[3]),
            incarnation: word(4),
            service: ServiceId(word(8)),
            nonce: word(12),
        };
        (id.service == service).then_some(id)
    }
}

fn cipher(keys: &crate::config::keys::EpochKeys, purpose: SealedIdKind) -> &Aes128 {
    match purpose {
        SealedIdKind::Token => &keys.token,
        SealedIdKind::Ticket => &keys.ticket,
    }
}
