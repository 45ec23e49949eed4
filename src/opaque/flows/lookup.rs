//! Lookups of a flow's holder among all agents, and the proof that no backend server holds the flow.

use std::net::Ipv4Addr;

use crate::config::revision::Revision;
use crate::decisions::placement;
use crate::opaque::packets::segment::{FlowKey, Segment};
use crate::opaque::values::directory::Directory;
use crate::process::opaque_metrics::OpaqueMetrics;

/// The interval after which agents that did not answer are queried again, in milliseconds.
///
/// For routes with a deadline it doubles with each retry. After a restart of all processes, agents are
/// too busy to answer at once, and repeated queries would keep them busy for as long as callers wait.
const RETRY_MS: u64 = 200;
/// The age at which a lookup is given up, in milliseconds: about the longest interval between two
/// copies of a caller's packet. The next copy starts another lookup.
const GIVE_UP_AFTER_MS: u64 = 1_600;
/// The most agents that a lookup queries.
///
/// On larger sites it queries the first ones in the placement order of the flow, which finds a flow
/// whose opener was handed on many times. Such a lookup can't prove that no agent holds the flow.
const MAX_QUERIED: usize = 256;
/// On sites with more than [`MAX_QUERIED`] agents, the number that are queried before the rest.
const LARGE_SITE_BATCH: usize = 64;
/// The number of agents that are queried first if there are more than twice as many. A flow is held by
/// one of the first eight in its placement order, or by one of the eight to which those may hand an
/// opener on.
pub(crate) const FIRST_QUERIED: usize = 16;
/// The time after which the other agents are queried too, in milliseconds: several round trips between
/// availability zones.
const WIDEN_AFTER_MS: u64 = 20;
/// The most concurrent lookups of one agent. Packets of further flows start none.
const MAX_LOOKUPS: usize = 4_096;

/// The outcome of a lookup, as far as its answers show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupOutcome {
    /// An agent has not answered, or holds a newer revision than this agent.
    Pending,
    /// Every agent answered that its backend server does not hold the flow.
    NotHeld {
        /// The next sequence number that the caller expects.
        acknowledgement: u32,
    },
}

/// A pending lookup.
#[derive(Debug, Clone)]
pub(crate) struct Lookup {
    flow: FlowKey,
    pub(crate) acknowledgement: u32,
    pub(crate) balancer: Ipv4Addr,
    packet: Vec<u8>,
    absent_hosts: Vec<Ipv4Addr>,
    newest_revision: Revision,
    started_ms: u64,
    next_query_ms: u64,
    /// How often agents that did not answer were queried again.
    retries: u32,
}

/// A packet of a flow that this agent does not know, for which a lookup starts.
#[derive(Debug, Clone, Copy)]
pub struct LookupPacket<'a> {
    /// The decoded header.
    pub segment: &'a Segment,
    /// The whole packet.
    pub packet: &'a [u8],
    /// The balancer that forwarded it, which receives the result.
    pub balancer: Ipv4Addr,
}

/// A lookup that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GivenUpLookup {
    pub(crate) flow: FlowKey,
    /// The agents that did not answer.
    pub(crate) unanswered: Vec<Ipv4Addr>,
    /// The highest revision in an answer.
    pub(crate) newest_revision: Revision,
}

/// The pending lookups of one agent, sorted by flow.
#[derive(Debug)]
pub struct Lookups {
    metrics: OpaqueMetrics,
    pending: Vec<Lookup>,
    given_up: Vec<GivenUpLookup>,
    own_host: Option<Ipv4Addr>,
}

impl Lookups {
    /// Creates an empty set of lookups.
    pub fn new(metrics: &OpaqueMetrics) -> Self {
        Self {
            metrics: metrics.clone(),
            pending: Vec::new(),
            given_up: Vec::new(),
            own_host: None,
        }
    }

    /// Starts a lookup and returns the agents to query now, or updates a pending lookup with the newer
    /// packet.
    ///
    /// On large sites only `likely_holders` are queried at first, and the others if none of these
    /// holds the flow.
    pub fn start(
        &mut self,
        directory: &Directory,
        own_host: Ipv4Addr,
        likely_holders: impl FnOnce() -> Vec<Ipv4Addr>,
        packet: &LookupPacket<'_>,
        now_ms: u64,
    ) -> Vec<Ipv4Addr> {
        let segment = packet.segment;
        let flow = segment.flow_from_caller();
        self.own_host = Some(own_host);
        match self.position(&flow) {
            Ok(index) => {
                let lookup = &mut self.pending[index];
                lookup.acknowledgement = segment.acknowledgement;
                lookup.packet = packet.packet.to_vec();
                Vec::new()
            }
            Err(_) if self.pending.len() >= MAX_LOOKUPS => Vec::new(),
            Err(index) => {
                let mut lookup = Lookup {
                    flow,
                    acknowledgement: segment.acknowledgement,
                    balancer: packet.balancer,
                    packet: packet.packet.to_vec(),
                    absent_hosts: Vec::new(),
                    newest_revision: Revision::ZERO,
                    started_ms: now_ms,
                    next_query_ms: now_ms + RETRY_MS,
                    retries: 0,
                };
                let mut queried = unanswered_hosts(&lookup, directory, own_host);
                if queried.len() > 2 * FIRST_QUERIED {
                    queried = likely_holders();
                    lookup.next_query_ms = now_ms + WIDEN_AFTER_MS;
                }
                self.metrics.lookups_started.inc();
                self.pending.insert(index, lookup);
                queried
            }
        }
    }

    /// Records that the agent on `host` does not hold the flow, and the highest revision that it knows.
    pub fn record_absent(&mut self, flow: &FlowKey, host: Ipv4Addr, revision: impl Into<Revision>) {
        let Ok(index) = self.position(flow) else {
            return;
        };
        let lookup = &mut self.pending[index];
        lookup.newest_revision = lookup.newest_revision.max(revision.into());
        if let Err(at) = lookup.absent_hosts.binary_search(&host) {
            lookup.absent_hosts.insert(at, host);
        }
    }

    /// Removes and returns a lookup whose holder was found.
    pub(crate) fn finish(&mut self, flow: &FlowKey) -> Option<Lookup> {
        let lookup = self.remove(flow)?;
        self.metrics.lookups_found.inc();
        Some(lookup)
    }

    /// Removes a lookup whose result is no longer needed.
    pub fn cancel(&mut self, flow: &FlowKey) {
        self.remove(flow);
    }

    fn remove(&mut self, flow: &FlowKey) -> Option<Lookup> {
        let index = self.position(flow).ok()?;
        Some(self.pending.remove(index))
    }

    /// Returns the flows that are being looked up.
    pub(crate) fn pending_flows(&self) -> Vec<FlowKey> {
        self.pending.iter().map(|lookup| lookup.flow).collect()
    }

    /// Returns whether no lookup is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the outcome of a lookup. Only the answers of all agents prove that a flow is not held.
    ///
    /// An agent with a higher revision may know of a backend server that this agent does not know.
    pub fn outcome(
        &self,
        flow: &FlowKey,
        directory: &Directory,
        revision: impl Into<Revision>,
    ) -> LookupOutcome {
        let (Ok(index), Some(own_host)) = (self.position(flow), self.own_host) else {
            return LookupOutcome::Pending;
        };
        let lookup = &self.pending[index];
        let all_answered = unanswered_hosts(lookup, directory, own_host).is_empty();
        if all_answered && lookup.newest_revision <= revision.into() {
            return LookupOutcome::NotHeld {
                acknowledgement: lookup.acknowledgement,
            };
        }
        LookupOutcome::Pending
    }

    /// Returns the agents to query now, each with the packet to send.
    ///
    /// Gives up lookups that are too old.
    pub fn due_queries(&mut self, directory: &Directory, now_ms: u64) -> Vec<(Ipv4Addr, Vec<u8>)> {
        let Some(own_host) = self.own_host else {
            return Vec::new();
        };
        self.pending.retain(|lookup| {
            let is_running = now_ms < lookup.started_ms + GIVE_UP_AFTER_MS;
            if !is_running {
                self.metrics.lookups_given_up.inc();
                self.given_up.push(GivenUpLookup {
                    flow: lookup.flow,
                    unanswered: unanswered_hosts(lookup, directory, own_host),
                    newest_revision: lookup.newest_revision,
                });
            }
            is_running
        });
        let mut queried = Vec::new();
        for lookup in self
            .pending
            .iter_mut()
            .filter(|lookup| lookup.next_query_ms <= now_ms)
        {
            let has_deadline = directory.has_deadline(lookup.flow.called);
            let doublings = if has_deadline { lookup.retries } else { 0 };
            lookup.next_query_ms = now_ms + (RETRY_MS << doublings);
            lookup.retries += 1;
            if lookup.retries == 1 && !queries_all_agents(directory) {
                self.metrics.lookups_partial.inc();
            }
            let hosts = hosts_to_query(lookup, directory, own_host);
            queried.extend(hosts.into_iter().map(|host| (host, lookup.packet.clone())));
        }
        queried
    }

    /// Removes and returns the lookups that were given up since the last call, for logging.
    pub(crate) fn take_given_up(&mut self) -> Vec<GivenUpLookup> {
        std::mem::take(&mut self.given_up)
    }

    /// Returns the age of a lookup in milliseconds, or 0 if there is none.
    pub(crate) fn age_ms(&self, flow: &FlowKey, now_ms: u64) -> u64 {
        let started_ms = self.position(flow).map(|at| self.pending[at].started_ms);
        now_ms.saturating_sub(started_ms.unwrap_or(now_ms))
    }

    fn position(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.pending
            .binary_search_by_key(flow, |lookup| lookup.flow)
    }
}

/// Returns whether lookups query all agents, so that their answers can prove that no one holds a flow.
///
/// The number of all agents counts, not the number of those that have not answered: on larger sites,
/// agents do not announce backend servers that are not published.
pub(crate) fn queries_all_agents(directory: &Directory) -> bool {
    directory.current_hosts().len() <= MAX_QUERIED
}

/// Returns the agents to query now, out of those that have not answered.
///
/// On sites with at most [`MAX_QUERIED`] agents these are all of them. On larger sites they are the
/// first ones in the placement order of the flow, and further ones only once all of these have
/// answered: an agent among them that does not answer most likely holds the flow.
fn hosts_to_query(lookup: &Lookup, directory: &Directory, own_host: Ipv4Addr) -> Vec<Ipv4Addr> {
    let hosts = unanswered_hosts(lookup, directory, own_host);
    if queries_all_agents(directory) {
        return hosts;
    }
    let mut others = directory.current_hosts().to_vec();
    others.retain(|host| *host != own_host);
    let mut order = placement::top_ranked_hosts(others, lookup.flow.hash(), MAX_QUERIED);
    let is_unanswered = |host: &Ipv4Addr| hosts.binary_search(host).is_ok();
    if order[..LARGE_SITE_BATCH].iter().any(is_unanswered) {
        order.truncate(LARGE_SITE_BATCH);
    }
    order.retain(is_unanswered);
    order
}

fn unanswered_hosts(lookup: &Lookup, directory: &Directory, own_host: Ipv4Addr) -> Vec<Ipv4Addr> {
    let hosts = directory.current_hosts().iter().copied();
    hosts
        .filter(|host| *host != own_host && lookup.absent_hosts.binary_search(host).is_err())
        .collect()
}
