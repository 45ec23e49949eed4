//! The order of agents for one flow: who is offered its opener next, and who likely holds it.

use std::net::Ipv4Addr;

use crate::decisions::placement;
use crate::opaque::flow_agent::AgentContext;
use crate::opaque::packets::segment::FlowKey;

/// Returns the agent after `own` in the order of a flow, if one is left that was not offered it
/// and fewer than `max_hops` were.
///
/// All agents with the same table walk the same circle, so that no list of those passed must travel.
pub(crate) fn next_host(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
) -> Option<Ipv4Addr> {
    next_of(context, own, key, hops, max_hops, |_| true)
}

/// The same among the agents whose backend servers are not published as cold.
pub(crate) fn next_warm_host(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
) -> Option<Ipv4Addr> {
    let is_warm = |host| !context.directory.is_cold(host, context.now_ms);
    next_of(context, own, key, hops, max_hops, is_warm)
}

fn next_of(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    hops: u8,
    max_hops: usize,
    may_be: impl Fn(Ipv4Addr) -> bool,
) -> Option<Ipv4Addr> {
    let table = context.directory.table_of(key)?;
    let order = placement::ranked(table, key.hash(), |row| {
        let trusted = !context.suspicion.is_suspected(row.host, context.now_ms);
        row.host == own || (row.weight > 0 && trusted && may_be(row.host))
    });
    let others = order.iter().filter(|row| row.host != own).count();
    if usize::from(hops) >= others.min(max_hops) {
        return None;
    }
    let position = order.iter().position(|row| row.host == own);
    let next = position.map_or(0, |position| (position + 1) % order.len());
    Some(order[next].host)
}

/// Returns the agents but `own` that are first in the order of a flow, at most `count`: one of them likely
/// holds it, since openers are placed and passed on along that order.
pub(crate) fn likely_hosts(
    context: &AgentContext<'_>,
    own: Ipv4Addr,
    key: &FlowKey,
    count: usize,
) -> Vec<Ipv4Addr> {
    let Some(table) = context.directory.table_of(key) else {
        return Vec::new();
    };
    let order = placement::ranked_by_slots(table, key.hash(), |row| row.host != own);
    order.iter().take(count).map(|row| row.host).collect()
}
