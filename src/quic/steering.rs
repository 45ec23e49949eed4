//! Where a balancer sends a packet of a caller: to the agent in its token, or to its owner.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::config::config_store::ConfigStore;
use crate::config::sealed_id::{SealedId, SealedIdKind};
use crate::config::service_id::ServiceId;
use crate::decisions::placement;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::quic::packet;

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketRoute {
    /// The host whose agent takes it.
    pub host: Ipv4Addr,
    /// Whether it may open a flow, so that an answer is expected.
    pub may_open: bool,
}

/// Chooses the agent for a packet that came in for `service`.
///
/// A token is followed with no look at the table or the host list: the flow stays with the agent
/// that accepted it, whatever this balancer believes.
///
/// # Errors
///
/// Returns code 4001 or 4002 for a packet that names no flow, 4004 or 4006 where no agent can be
/// named.
pub fn steer(
    store: &ConfigStore,
    suspicion: &Suspicion,
    service: ServiceId,
    datagram: &[u8],
    now_ms: u64,
) -> Result<PacketRoute> {
    let view = packet::parse(datagram)?;
    if let Some(token) = SealedId::open(store.key_ring(), SealedIdKind::Token, service, view.id) {
        return Ok(PacketRoute {
            host: token.host,
            may_open: false,
        });
    }
    if !view.may_open {
        return Err(Error::new(Code::PacketUnroutable, "no token"));
    }
    let host = owner_host(store, suspicion, service, view.opener_hash(), now_ms)?;
    Ok(PacketRoute {
        host,
        may_open: true,
    })
}

/// Returns the host of the opener's owner, or of the runner-up while the owner is suspected.
///
/// # Errors
///
/// Returns code 4004 for an unknown service and 4006 where no target may be chosen.
pub fn owner_host(
    store: &ConfigStore,
    suspicion: &Suspicion,
    service: ServiceId,
    opener_hash: u64,
    now_ms: u64,
) -> Result<Ipv4Addr> {
    let table = store.table(service);
    let table = table.ok_or_else(|| Error::new(Code::ServiceUnknown, service.to_string()))?;
    let chosen = placement::place_opener(table, opener_hash, |row| {
        !suspicion.is_suspected(row.host, now_ms)
    });
    let chosen = chosen.or_else(|| placement::place_opener(table, opener_hash, |_| true));
    let chosen = chosen.ok_or_else(|| Error::new(Code::HostUnknown, table.service.clone()))?;
    Ok(chosen.owner.host)
}
