//! How a balancer without a configuration finds who holds an open flow.
//!
//! After a restart of all processes while the platform answers nobody, no process knows a route or a backend
//! server, and yet every backend server may hold its flows. Which agents run is known from what they say:
//! they greet the seeds while they start, and seeds pass the list on to balancers that ask. A packet that
//! opens nothing is then shown to agents until one says that its backend server holds the flow. Nothing is reset and
//! nothing is opened on such knowledge. See docs/OPAQUE.md, "Serving without a configuration".

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::opaque::finding::flow_map::FlowMap;
use crate::opaque::packets::segment::FlowKey;

/// To how many agents each copy of a packet is shown: on a small site to all, and on a larger one to the next
/// ones with each copy that its caller sends, so that the first second after a restart stays affordable.
const SHOWN_AT_ONCE: usize = 16;
/// The most agents that are remembered, and told of in one message of at most a kilobyte.
const MAX_AGENTS: usize = 256;
/// For how long an agent counts that says nothing, in milliseconds: agents greet five times a second.
const HEARD_MS: u64 = 2_000;
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
        for bytes in list.chunks_exact(ADDRESS_BYTES).take(MAX_AGENTS) {
            self.heard(
                Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]),
                now_ms,
            );
        }
    }

    /// Returns the agents that greeted this process lately, as a list for other balancers.
    ///
    /// Those that it was told of are left out: two balancers would tell each other of a dead agent for ever.
    pub fn list(&self, now_ms: u64) -> Vec<u8> {
        let is_recent = |agent: &&RunningAgent| {
            let greeted_ms = agent.greeted_ms;
            greeted_ms.is_some_and(|greeted_ms| now_ms < greeted_ms + HEARD_MS)
        };
        let greeted = self.agents.iter().filter(is_recent);
        greeted.flat_map(|agent| agent.host.octets()).collect()
    }

    /// Returns the agents to which a packet of a flow is shown now.
    ///
    /// They follow each other in an order that is the flow's own, so that no agent is shown all of them first.
    pub fn next_agents(&mut self, flow: &FlowKey, now_ms: u64) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        let mut order: Vec<(u64, Ipv4Addr)> = self
            .agents
            .iter()
            .map(|agent| (hash::host_rank(flow.hash(), agent.host), agent.host))
            .collect();
        order.sort_unstable();
        if order.is_empty() {
            return Vec::new();
        }
        let count = SHOWN_AT_ONCE.min(order.len());
        let from = self.shown.get(flow).copied().unwrap_or(0) % order.len();
        // Without room for it the search begins anew with each copy.
        let _ = self.shown.insert(*flow, from + count);
        let next = order.iter().cycle().skip(from).take(count);
        next.map(|(_, host)| *host).collect()
    }

    fn forget(&mut self, now_ms: u64) {
        self.agents
            .retain(|agent| now_ms < agent.heard_ms + HEARD_MS);
    }
}

impl Default for FlowSearch {
    fn default() -> Self {
        Self::new()
    }
}
