//! The candidate agents for a flow, in the order in which a balancer tries them.

use std::net::Ipv4Addr;
use std::ops::RangeInclusive;

use crate::code::Code;
use crate::decisions::offers::{MAX_OTHER_ZONES, MAX_SAME_ZONE};
use crate::decisions::placement;
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::packets::segment::FlowKey;
use crate::opaque::values::directory::Directory;

/// The limits of the number of first candidates by hash among which an agent in the balancer's zone is
/// preferred; within them it is half of the service's agents.
///
/// A flow that crosses zones costs its operator traffic and its caller 1.4 ms for each packet. If all
/// agents could be preferred, callers in a zone with few backend servers would overload these: the
/// busiest of seven had 1.31 times the mean load then, and 1.11 times with a limit of three.
const ZONE_PREFERENCE_CANDIDATES: RangeInclusive<usize> = 3..=8;

/// Returns the agents that a flow may go to, in the order in which copies of its opener are sent to
/// them.
///
/// They are ranked by hash, but among the first few the first one in this availability zone moves to
/// the front.
///
/// # Errors
///
/// Returns code 4006 if no backend server takes flows. The order is never empty.
pub(crate) fn by_preference(
    directory: &Directory,
    suspicion: &Suspicion,
    zone: &str,
    flow: &FlowKey,
    now_ms: u64,
) -> Result<Vec<Ipv4Addr>> {
    let mut order = ranked(directory, suspicion, flow, now_ms)?;
    let preferred = (order.len() / 2).clamp(
        *ZONE_PREFERENCE_CANDIDATES.start(),
        *ZONE_PREFERENCE_CANDIDATES.end(),
    );
    let length = order.len();
    let first = &mut order[..preferred.min(length)];
    let is_near = |host: &Ipv4Addr| directory.is_in_zone(*host, zone);
    if let Some(nearest) = first.iter().position(is_near) {
        first[..=nearest].rotate_right(1);
    }
    Ok(order)
}

/// Returns the agents to which an opener may be offered, each with whether it is in this availability
/// zone.
///
/// The first ones by hash in this zone come first, then some in other zones.
///
/// # Errors
///
/// Returns code 4006 if no backend server takes flows.
pub(crate) fn for_offers(
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
    // If the zone has few backend servers, others take their places.
    let unused = MAX_SAME_ZONE - near.len();
    let far = far.into_iter().take(MAX_OTHER_ZONES + unused);
    let near = near.into_iter().map(|host| (host, true));
    Ok(near.chain(far.map(|host| (host, false))).collect())
}

/// Returns the agents that take new flows, ranked by the hash of a flow.
///
/// Suspected agents are left out unless all agents are suspected.
fn ranked(
    directory: &Directory,
    suspicion: &Suspicion,
    flow: &FlowKey,
    now_ms: u64,
) -> Result<Vec<Ipv4Addr>> {
    let none = || Error::new(Code::HostUnknown, flow.called.to_string());
    let table = directory.table_for_flow(flow).ok_or_else(none)?;
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

/// Returns whether the service of a flow is evacuated.
pub(crate) fn is_service_evacuated(directory: &Directory, flow: &FlowKey) -> bool {
    let service = directory.service_for_flow(flow);
    service.is_some_and(|service| directory.is_service_evacuated(service))
}

/// Returns the first agent by hash of a flow's service, even if it takes no new flows. It can look up
/// the holder of the flow.
pub(crate) fn first_agent(directory: &Directory, flow: &FlowKey) -> Option<Ipv4Addr> {
    let table = directory.table_for_flow(flow)?;
    let ranked = placement::rank_targets_by_slots(table, flow.hash(), |_| true);
    ranked.first().map(|row| row.host)
}
