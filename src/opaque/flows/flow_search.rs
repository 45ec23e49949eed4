//! The search for the holder of an open flow by a balancer without a configuration.
//!
//! If all processes restart while the platform does not answer, no process knows a route or a backend
//! server, but the backend servers may still hold their flows. Agents greet the seeds when they start,
//! and seeds send the list of agents to balancers that ask. Packets that open no flow are then shown to
//! agents until one answers that its backend server holds the flow. Such a search neither resets nor
//! opens a flow. See docs/OPAQUE.md, "Serving without a configuration".

use std::net::Ipv4Addr;

use crate::decisions::placement;
use crate::opaque::flows::flow_map::FlowMap;
use crate::opaque::packets::segment::FlowKey;

/// The number of agents to which the first copy of a packet is shown. They come first in the placement
/// order of the flow, so that this copy finds most flows at any number of agents.
const FIRST_COPY_AGENTS: usize = 16;
/// The most agents to which one copy is shown. Each copy is shown to twice as many as the one before.
const MAX_COPY_AGENTS: usize = 256;
/// The most agents that are kept: 24 bytes each, 1.5 MB in all.
const MAX_AGENTS: usize = 65_536;
/// The most agents in one message, which is then a kilobyte. On larger sites the list is sent in parts.
const MAX_LISTED_AGENTS: usize = 256;
/// How long the same part of the list is sent, in milliseconds. Balancers ask five times a second.
const LIST_PART_MS: u64 = 200;
/// The time after which a silent agent that had greeted this process expires, in milliseconds. Agents
/// greet five times a second.
const GREETING_TIMEOUT_MS: u64 = 2_000;
/// The time after which an agent known only from lists expires, in milliseconds. Within it a seed
/// lists 12,800 agents. A packet that is shown to a dead agent costs one datagram.
const LISTED_TIMEOUT_MS: u64 = 10_000;
/// The most concurrent searches. The packets of further flows are all shown to the same first agents.
const MAX_SEARCHES: usize = 16_384;
const ADDRESS_BYTES: usize = 4;

/// An agent that was seen running.
#[derive(Debug, Clone, Copy)]
struct RunningAgent {
    host: Ipv4Addr,
    last_seen_ms: u64,
    /// When it last greeted this process directly, if ever.
    greeted_ms: Option<u64>,
}

/// The known agents, sorted by host, and the progress of the search for each flow.
#[derive(Debug)]
pub struct FlowSearch {
    agents: Vec<RunningAgent>,
    /// The number of agents to which the packets of each flow were shown.
    shown: FlowMap<usize>,
}

impl FlowSearch {
    /// Creates a search without agents.
    pub fn new() -> Self {
        Self {
            agents: Vec::new(),
            shown: FlowMap::new(MAX_SEARCHES),
        }
    }

    /// Returns the number of known agents.
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Records that an agent greeted this process.
    pub fn record_greeting(&mut self, host: Ipv4Addr, now_ms: u64) {
        if let Some(agent) = self.record_agent(host, now_ms) {
            agent.greeted_ms = Some(now_ms);
        }
    }

    fn record_agent(&mut self, host: Ipv4Addr, now_ms: u64) -> Option<&mut RunningAgent> {
        let found = self.agents.binary_search_by_key(&host, |agent| agent.host);
        let index = match found {
            Ok(index) => index,
            Err(_) if self.agents.len() >= MAX_AGENTS => return None,
            Err(index) => {
                let agent = RunningAgent {
                    host,
                    last_seen_ms: now_ms,
                    greeted_ms: None,
                };
                self.agents.insert(index, agent);
                index
            }
        };
        let agent = &mut self.agents[index];
        agent.last_seen_ms = now_ms;
        Some(agent)
    }

    /// Records the agents in a list that another process sent.
    pub fn record_agents(&mut self, list: &[u8], now_ms: u64) {
        for bytes in list.chunks_exact(ADDRESS_BYTES).take(MAX_LISTED_AGENTS) {
            self.record_agent(
                Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]),
                now_ms,
            );
        }
    }

    /// Returns the encoded list of agents that greeted this process recently, for other balancers.
    ///
    /// A list that is too long for a message is returned in parts, one after the other. Agents known
    /// only from lists are left out: two balancers would otherwise keep a dead agent alive in each
    /// other's lists.
    pub fn agent_list(&self, now_ms: u64) -> Vec<u8> {
        let is_recent = |agent: &&RunningAgent| {
            let greeted_ms = agent.greeted_ms;
            greeted_ms.is_some_and(|greeted_ms| now_ms < greeted_ms + GREETING_TIMEOUT_MS)
        };
        let greeted: Vec<Ipv4Addr> = self
            .agents
            .iter()
            .filter(is_recent)
            .map(|agent| agent.host)
            .collect();
        let parts = greeted.len().div_ceil(MAX_LISTED_AGENTS).max(1);
        let part = (now_ms / LIST_PART_MS) as usize % parts;
        let listed = greeted
            .chunks(MAX_LISTED_AGENTS)
            .nth(part)
            .unwrap_or_default();
        listed.iter().flat_map(Ipv4Addr::octets).collect()
    }

    /// Returns the agents to which a packet of a flow is shown next.
    ///
    /// They are sorted by the placement order of the flow among backend servers of equal weight, so
    /// that its holder is among the first ones.
    pub fn next_agents(&mut self, flow: &FlowKey, now_ms: u64) -> Vec<Ipv4Addr> {
        self.expire_agents(now_ms);
        if self.agents.is_empty() {
            return Vec::new();
        }
        let shown = self.shown.get(flow).copied().unwrap_or(0);
        let from = if shown < self.agents.len() { shown } else { 0 };
        let count = (FIRST_COPY_AGENTS + from).min(MAX_COPY_AGENTS);
        // If the map is full, the search starts again with each copy.
        let _ = self.shown.insert(*flow, from + count);
        let hosts = self.agents.iter().map(|agent| agent.host).collect();
        placement::top_ranked_hosts(hosts, flow.hash(), from + count).split_off(from)
    }

    fn expire_agents(&mut self, now_ms: u64) {
        self.agents.retain(|agent| {
            let timeout_ms = if agent.greeted_ms.is_some() {
                GREETING_TIMEOUT_MS
            } else {
                LISTED_TIMEOUT_MS
            };
            now_ms < agent.last_seen_ms + timeout_ms
        });
    }
}

impl Default for FlowSearch {
    fn default() -> Self {
        Self::new()
    }
}
