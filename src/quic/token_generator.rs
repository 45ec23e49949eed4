//! The generator of connection IDs, which are routing tokens.

use std::net::Ipv4Addr;
use std::sync::{Arc, RwLock};

use compio::quic::{ConnectionId, ConnectionIdGenerator};
use rand::Rng;

use crate::config::keys::KeyRing;
use crate::config::sealed_id::{SEALED_ID_BYTES, SealedId, SealedIdKind};
use crate::config::service_id::ServiceId;

/// The keys in force, shared between the agent and its endpoints.
pub(crate) type SharedKeyRing = Arc<RwLock<KeyRing>>;

/// Generates the connection IDs of one target.
pub(crate) struct TokenGenerator {
    pub(crate) key_ring: SharedKeyRing,
    pub(crate) host: Ipv4Addr,
    pub(crate) incarnation: u32,
    pub(crate) service: ServiceId,
}

impl ConnectionIdGenerator for TokenGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut random = rand::rng();
        let token = SealedId {
            host: self.host,
            incarnation: self.incarnation,
            service: self.service,
            nonce: random.random(),
        };
        let key_ring = self
            .key_ring
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        ConnectionId::new(&token.seal(&key_ring, SealedIdKind::Token, random.random()))
    }

    fn cid_len(&self) -> usize {
        SEALED_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<std::time::Duration> {
        None
    }
}
