//! The routing of callers' packets at a balancer: to the agent that the token names, or to the
//! owner of an opener.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::config::config_store::ConfigStore;
use crate::config::sealed_id::{SealedId, SealedIdKind};
use crate::config::service_id::ServiceId;
use crate::decisions::placement;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::quic::packet;

/// The destination of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketRoute {
    /// The host of the agent.
    pub host: Ipv4Addr,
    /// Whether the packet may open a flow. The agent is then expected to answer it.
    pub may_open: bool,
}

/// Chooses the agent for a packet to `service`.
///
/// A token is followed without checking the table or the host list, so that the flow stays with the
/// agent that accepted it whatever configuration this balancer has.
///
/// # Errors
///
/// Returns code 4001 for a packet without a complete connection ID, 4002 for one that neither has a
/// valid token nor may open a flow, 4004 for an opener of an unknown service and 4006 if no target
/// can be chosen.
pub fn steer(
    store: &ConfigStore,
    suspicion: &Suspicion,
    service: ServiceId,
    datagram: &[u8],
    now_ms: u64,
) -> Result<PacketRoute> {
    let view = packet::parse(datagram)?;
    if let Some(token) = SealedId::open(
        store.key_ring(),
        SealedIdKind::Token,
        service,
        view.connection_id,
    ) {
        return Ok(PacketRoute {
            host: token.host,
            may_open: false,
        });
    }
    if !view.may_open {
        return Err(Error::new(
            Code::PacketUnroutable,
            format!("for service {service}"),
        ));
    }
    let host = owner_host(store, suspicion, service, view.opener_hash(), now_ms)?;
    Ok(PacketRoute {
        host,
        may_open: true,
    })
}

/// Returns the host of an opener's owner. Suspected hosts are skipped unless all are suspected.
///
/// # Errors
///
/// Returns code 4004 for an unknown service and 4006 if no target can be chosen.
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
