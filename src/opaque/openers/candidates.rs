//! The agents that a balancer may send a flow to, in the order in which they are tried.

use std::net::Ipv4Addr;
use std::ops::RangeInclusive;

use crate::code::Code;
use crate::decisions::offers::{MAX_OTHER_ZONES, MAX_SAME_ZONE};
use crate::decisions::placement;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::packets::segment::FlowKey;
use crate::opaque::values::directory::Directory;

/// Of how many agents that are first by hash the nearest comes first: half of a service's, within these
/// limits. Where a flow crosses zones, its operator pays for the bytes and its caller waits 1.4 ms a packet;
/// where all agents could be chosen, callers of a zone would draw to the few servers in it (the
/// busiest of seven stood at 1.31 of the mean then, and at 1.11 with three).
const NEAR_CHOICE: RangeInclusive<usize> = 3..=8;

/// Returns the agents that a flow may go to, in the order in which copies of its opener are sent to
/// them: as its hash ranks them, but the first of a few in this availability zone before all others.
///
/// # Errors
///
/// Returns code 4006 where no backend server takes flows; the order is never empty.
pub(crate) fn in_order(
    directory: &Directory,
    suspicion: &Suspicion,
    zone: &str,
    flow: &FlowKey,
    now_ms: u64,
) -> Result<Vec<Ipv4Addr>> {
    let mut order = ranked(directory, suspicion, flow, now_ms)?;
    let choice = (order.len() / 2).clamp(*NEAR_CHOICE.start(), *NEAR_CHOICE.end());
    let length = order.len();
    let few = &mut order[..choice.min(length)];
    let is_near = |host: &Ipv4Addr| directory.is_in_zone(*host, zone);
    if let Some(nearest) = few.iter().position(is_near) {
        few[..=nearest].rotate_right(1);
    }
    Ok(order)
}

/// Returns the agents to which an opener may be offered one after the other, each with whether it stands in this
/// availability zone: the first of it by hash, then some of the others.
///
/// # Errors
///
/// Returns code 4006 where no backend server takes flows.
pub(crate) fn asked(
    directory: &Directory,
    suspicion: &Suspicion,
    zone: &str,
    flow: &FlowKey,
    now_ms: u64,
) -> Result<Vec<(Ipv4Addr, bool)>> {
    let order = ranked(directory, suspicion, flow, now_ms)?;
    let is_near = |host: &Ipv4Addr| directory.is_in_zone(*host, zone);
    let (near, far): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) = order.into_iter().partition(is_near);
    let near: Vec<Ipv4Addr> = near.into_iter().take(MAX_SAME_ZONE).collect();
    // A zone with few backend servers asks as many in all.
    let more = MAX_SAME_ZONE - near.len();
    let far = far.into_iter().take(MAX_OTHER_ZONES + more);
    let near = near.into_iter().map(|host| (host, true));
    Ok(near.chain(far.map(|host| (host, false))).collect())
}

/// Returns the agents that take new flows in the order of a flow; those that are suspected only where all are.
fn ranked(
    directory: &Directory,
    suspicion: &Suspicion,
    flow: &FlowKey,
    now_ms: u64,
) -> Result<Vec<Ipv4Addr>> {
    let none = || Error::new(Code::HostUnknown, flow.called.to_string());
    let table = directory.table_of(flow).ok_or_else(none)?;
    let trusted = placement::rank_targets(table, flow.hash(), |row| {
        row.weight > 0 && !suspicion.is_suspected(row.host, now_ms)
    });
    let ranked = if trusted.is_empty() {
        placement::rank_targets(table, flow.hash(), |row| row.weight > 0)
    } else {
        trusted
    };
    if ranked.is_empty() {
        return Err(none());
    }
    Ok(ranked.iter().map(|row| row.host).collect())
}

/// Tells whether only evacuations keep a flow from being taken.
pub(crate) fn are_evacuated(directory: &Directory, flow: &FlowKey) -> bool {
    let service = directory.service_of(flow);
    service.is_some_and(|service| directory.is_evacuated_service(service))
}

/// Returns the first agent by hash of a flow's service, whether it takes new flows or not: it can find out who
/// holds the flow.
pub(crate) fn any_agent(directory: &Directory, flow: &FlowKey) -> Option<Ipv4Addr> {
    let table = directory.table_of(flow)?;
    let ranked = placement::rank_targets_by_slots(table, flow.hash(), |_| true);
    ranked.first().map(|row| row.host)
}
