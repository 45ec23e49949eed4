//! How a balancer without a configuration finds who holds an open flow.
//!
//! After a restart of all processes while the platform answers nobody, no process knows a route or a backend
//! server, and yet every backend server may hold its flows. Which agents run is known from what they say:
//! they greet the seeds while they start, and seeds pass the list on to balancers that ask. A packet that
//! opens nothing is then shown to agents until one says that its backend server holds the flow. Nothing is reset and
//! nothing is opened on such knowledge. See docs/OPAQUE.md, "Serving without a configuration".

use std::net::Ipv4Addr;

use crate::decisions::placement;
use crate::opaque::finding::flow_map::FlowMap;
use crate::opaque::packets::segment::FlowKey;

/// To how many agents the first copy of a packet is shown. They are the first in the order in which flows are placed,
/// so that most flows are found with it at any number of agents.
const SHOWN_FIRST: usize = 16;
/// To how many agents a copy is shown at most. Each copy is shown to twice as many as the one before it.
const SHOWN_AT_ONCE: usize = 256;
/// The most agents that are remembered: 24 bytes each, 1.5 MB.
const MAX_AGENTS: usize = 65_536;
/// The most agents of which one message tells: a kilobyte. On larger sites each message tells of the next ones.
const TOLD_AT_ONCE: usize = 256;
/// How long one part of the list is told, in milliseconds: balancers ask five times a second.
const TOLD_FOR_MS: u64 = 200;
/// For how long an agent counts that says nothing, in milliseconds: agents greet five times a second.
const HEARD_MS: u64 = 2_000;
/// The same for one that never greeted this process, in milliseconds: within it a seed tells of 12,800 agents. A packet
/// that is shown to a dead one costs a datagram.
const TOLD_MS: u64 = 10_000;
/// How many flows are searched at once; a further one is shown to the first agents again and again.
const MAX_SEARCHED: usize = 16_384;
const ADDRESS_BYTES: usize = 4;

/// An agent that runs.
#[derive(Debug, Clone, Copy)]
struct RunningAgent {
    host: Ipv4Addr,
    heard_ms: u64,
    /// When it greeted this process itself, if it did.
    greeted_ms: Option<u64>,
}

/// The agents heard of, sorted by host, and how far the search for each flow has come.
#[derive(Debug)]
pub struct FlowSearch {
    agents: Vec<RunningAgent>,
    /// How many agents each flow's packets were shown to.
    shown: FlowMap<usize>,
}

impl FlowSearch {
    /// Makes a search that knows no agent.
    pub fn new() -> Self {
        Self {
            agents: Vec::new(),
            shown: FlowMap::new(MAX_SEARCHED),
        }
    }

    /// Returns the number of agents heard of.
    pub fn known(&self) -> usize {
        self.agents.len()
    }

    /// Notes that an agent greeted this process.
    pub fn greeted(&mut self, host: Ipv4Addr, now_ms: u64) {
        if let Some(agent) = self.heard(host, now_ms) {
            agent.greeted_ms = Some(now_ms);
        }
    }

    fn heard(&mut self, host: Ipv4Addr, now_ms: u64) -> Option<&mut RunningAgent> {
        let found = self.agents.binary_search_by_key(&host, |agent| agent.host);
        let index = match found {
            Ok(index) => index,
            Err(_) if self.agents.len() >= MAX_AGENTS => return None,
            Err(index) => {
                let agent = RunningAgent {
                    host,
                    heard_ms: now_ms,
                    greeted_ms: None,
                };
                self.agents.insert(index, agent);
                index
            }
        };
        let agent = &mut self.agents[index];
        agent.heard_ms = now_ms;
        Some(agent)
    }

    /// Notes the agents of which another balancer has heard.
    pub fn heard_list(&mut self, list: &[u8], now_ms: u64) {
        for bytes in list.chunks_exact(ADDRESS_BYTES).take(TOLD_AT_ONCE) {
            self.heard(
                Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]),
                now_ms,
            );
        }
    }

    /// Returns agents that greeted this process lately, as a list for other balancers: all of them one part after the
    /// other.
    ///
    /// Those that it was told of are left out: two balancers would tell each other of a dead agent for ever.
    pub fn list(&self, now_ms: u64) -> Vec<u8> {
        let is_recent = |agent: &&RunningAgent| {
            let greeted_ms = agent.greeted_ms;
            greeted_ms.is_some_and(|greeted_ms| now_ms < greeted_ms + HEARD_MS)
        };
        let greeted: Vec<Ipv4Addr> = self
            .agents
            .iter()
            .filter(is_recent)
            .map(|agent| agent.host)
            .collect();
        let parts = greeted.len().div_ceil(TOLD_AT_ONCE).max(1);
        let part = (now_ms / TOLD_FOR_MS) as usize % parts;
        let told = greeted.chunks(TOLD_AT_ONCE).nth(part).unwrap_or_default();
        told.iter().flat_map(Ipv4Addr::octets).collect()
    }

    /// Returns the agents to which a packet of a flow is shown now.
    ///
    /// They follow each other in the order in which the flow was placed where backend servers weigh the same, so
    /// that its holder is among the first ones.
    pub fn next_agents(&mut self, flow: &FlowKey, now_ms: u64) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        if self.agents.is_empty() {
            return Vec::new();
        }
        let shown = self.shown.get(flow).copied().unwrap_or(0);
        let from = if shown < self.agents.len() { shown } else { 0 };
        let count = (SHOWN_FIRST + from).min(SHOWN_AT_ONCE);
        // Without room for it the search begins anew with each copy.
        let _ = self.shown.insert(*flow, from + count);
        let hosts = self.agents.iter().map(|agent| agent.host).collect();
        placement::top_ranked_hosts(hosts, flow.hash(), from + count).split_off(from)
    }

    fn forget(&mut self, now_ms: u64) {
        self.agents.retain(|agent| {
            let remembered_ms = if agent.greeted_ms.is_some() {
                HEARD_MS
            } else {
                TOLD_MS
            };
            now_ms < agent.heard_ms + remembered_ms
        });
    }
}

impl Default for FlowSearch {
    fn default() -> Self {
        Self::new()
    }
}
