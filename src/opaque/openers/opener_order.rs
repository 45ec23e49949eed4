//! The order of agents for one flow: the next agent for its opener, and the agents that likely hold
//! the flow.

use std::net::Ipv4Addr;

use crate::decisions::placement;
use crate::opaque::flow_agent::AgentContext;
use crate::opaque::packets::segment::FlowKey;

/// Returns the agent after `own` in the order of a flow, or `None` if `max_hops` agents or all
/// other agents have already handed the opener on.
///
/// All agents with the same table follow the same circular order, so that the opener needs no list
/// of the agents that have handed it on.
pub(crate) fn next_host(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
) -> Option<Ipv4Addr> {
    next_eligible(context, own, key, hops, max_hops, |_| true)
}

/// Like [`next_host`], among the agents whose backend servers are not published as cold.
pub(crate) fn next_warm_host(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
) -> Option<Ipv4Addr> {
    let is_warm = |host| !context.directory.is_cold(host, context.now_ms);
    next_eligible(context, own, key, hops, max_hops, is_warm)
}

fn next_eligible(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
    is_eligible: impl Fn(Ipv4Addr) -> bool,
) -> Option<Ipv4Addr> {
    let table = context.directory.table_for_flow(key)?;
    let order = placement::rank_targets(table, key.hash(), |row| {
        let trusted = !context.suspicion.is_suspected(row.host, context.now_ms);
        row.host == own || (row.weight > 0 && trusted && is_eligible(row.host))
    });
    let others = order.iter().filter(|row| row.host != own).count();
    if usize::from(hops) >= others.min(max_hops) {
        return None;
    }
    let position = order.iter().position(|row| row.host == own);
    let next = position.map_or(0, |position| (position + 1) % order.len());
    Some(order[next].host)
}

/// Returns the first `count` agents other than `own` in the order of a flow.
///
/// One of them likely holds the flow, since openers are placed and handed on in that order.
pub(crate) fn likely_holders(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    count: usize,
) -> Vec<Ipv4Addr> {
    let Some(table) = context.directory.table_for_flow(key) else {
        return Vec::new();
    };
    let order = placement::rank_targets_by_slots(table, key.hash(), |row| row.host != own);
    order.iter().take(count).map(|row| row.host).collect()
}
