//! One service's agents in a deterministic run: the decision core under arrivals, reports and edits.
//!
//! It is no simulation of a cluster: no packets, no processes, one service. The real `Admission` and
//! `PeerLoads` decide; arrivals, lifetimes and the choice of peers come from a seeded source.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use endivedyke::{
    Admission, Decision, LoadReport, Opener, OpenerSource, PeerLoads, TABLE_HEADER, Table,
    TableRow, place_opener,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 50;

/// How an opener finds its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The owner by plain hash takes it: the naive version.
    Hash,
    /// The owner hands it to the runner-up of the same hash if that reported less load.
    TwoChoices,
    /// What endivedyke does.
    Deflect,
}

/// The load that the model puts on the service.
#[derive(Debug, Clone, Copy)]
pub struct ModelLoad {
    /// The mean number of open flows for each unit of 100 weight.
    pub flows_per_target: f64,
    /// The mean time that a flow stays open, in milliseconds.
    pub lifetime_ms: f64,
    /// How often an agent exchanges reports with one random peer, in milliseconds.
    pub exchange_ms: u64,
}

struct ModelAgent {
    host: Ipv4Addr,
    admission: Admission,
    peer_loads: PeerLoads,
    sequence: u32,
    next_exchange_ms: u64,
    alive: bool,
}

/// A service in a deterministic run.
pub struct ServiceModel {
    policy: Policy,
    load: ModelLoad,
    table: Table,
    agents: Vec<ModelAgent>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    random: StdRng,
    now_ms: u64,
    refused: u64,
    deflected: u64,
}

fn host(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250 + 1) as u8)
}

/// Returns a table with a target for each weight above 0.
fn table(weights: &[u32]) -> Table {
    let mut text = format!("{TABLE_HEADER}\n");
    for (index, weight) in weights.iter().enumerate() {
        let host = host(index);
        text += &format!("model,192.0.2.1:443,t{index:04},{host},{host}:80,{weight},4,1000000\n");
    }
    Table::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

impl ServiceModel {
    /// Makes a service with a warm target for each weight and no flow.
    pub fn new(policy: Policy, weights: &[u32], load: ModelLoad, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let agent = |index| ModelAgent {
            host: host(index),
            admission: Admission::warm(host(index)),
            peer_loads: PeerLoads::default(),
            sequence: 0,
            next_exchange_ms: random.random_range(0..load.exchange_ms),
            alive: true,
        };
        Self {
            policy,
            load,
            table: table(weights),
            agents: (0..weights.len()).map(agent).collect(),
            ends: BinaryHeap::new(),
            random,
            now_ms: endivedyke::SLOW_START_MS,
            refused: 0,
            deflected: 0,
        }
    }

    /// Puts new weights in force; a target beyond the ones known starts cold.
    pub fn set_weights(&mut self, weights: &[u32]) {
        self.table = table(weights);
        for index in self.agents.len()..weights.len() {
            self.agents.push(ModelAgent {
                host: host(index),
                admission: Admission::new(host(index), self.now_ms),
                peer_loads: PeerLoads::default(),
                sequence: 0,
                next_exchange_ms: self.now_ms,
                alive: true,
            });
        }
    }

    /// Drains a target: it takes no opener, and its flows go on.
    pub fn drain(&mut self, index: usize) {
        self.agents[index].admission.set_draining(true);
    }

    /// Kills a target: its flows are lost, and they open again at once.
    pub fn kill(&mut self, index: usize) -> u64 {
        let lost = u64::from(self.agents[index].admission.open_flows());
        self.agents[index].alive = false;
        self.agents[index].admission = Admission::warm(host(index));
        self.ends.retain(|Reverse((_, target))| *target != index);
        for _ in 0..lost {
            self.open_flow();
        }
        lost
    }

    /// Opens this many flows at once, as at the start of a run.
    pub fn fill(&mut self, flows: u64) {
        for _ in 0..flows {
            self.open_flow();
        }
    }

    /// Closes all flows and opens as many again within `span_ms`, as after a loss of the site.
    pub fn reopen_all(&mut self, span_ms: u64) {
        let flows = self.ends.len() as u64;
        for Reverse((_, target)) in std::mem::take(&mut self.ends) {
            self.agents[target].admission.flow_closed();
        }
        let steps = (span_ms / STEP_MS).max(1);
        for step in 0..steps {
            let from = flows * step / steps;
            self.fill(flows * (step + 1) / steps - from);
            self.step();
        }
    }

    /// Returns the number of open flows of each target.
    pub fn open_flows(&self) -> Vec<u32> {
        self.agents
            .iter()
            .map(|agent| agent.admission.open_flows())
            .collect()
    }

    /// Returns the table in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns how many openers were refused, and how many were handed to a peer.
    pub fn refused_and_deflected(&self) -> (u64, u64) {
        (self.refused, self.deflected)
    }

    /// Returns the greatest load over its share by the table, less one.
    pub fn imbalance(&self) -> f64 {
        imbalance(&self.table, &self.open_flows())
    }

    /// Returns the least imbalance that new flows alone can reach in `span_ms` from now.
    ///
    /// Each target keeps what does not end by itself, and all expected arrivals go where the level
    /// is lowest (filled like water), which no policy can beat without moving flows.
    pub fn imbalance_lower_bound(&self, span_ms: u64) -> f64 {
        let until_ms = self.now_ms + span_ms;
        let mut kept = vec![0.0; self.agents.len()];
        for Reverse((end_ms, target)) in &self.ends {
            if *end_ms > until_ms {
                kept[*target] += 1.0;
            }
        }
        let units = self.table.total_weight() as f64 / 100.0;
        let decay = 1.0 - (-(span_ms as f64) / self.load.lifetime_ms).exp();
        let mut arrivals = self.load.flows_per_target * units * decay;
        let weights: Vec<f64> = (0..kept.len())
            .map(|index| {
                let row = self.table.row_on(self.agents[index].host);
                row.map_or(0.0, |row| f64::from(row.weight))
            })
            .collect();
        let portion = arrivals / 10_000.0;
        while arrivals > 0.0 {
            let level = |index: &usize| (kept[*index] + portion) / weights[*index];
            let open = (0..kept.len()).filter(|index| weights[*index] > 0.0);
            let lowest = open.min_by(|a, b| level(a).total_cmp(&level(b)));
            kept[lowest.unwrap_or(0)] += portion;
            arrivals -= portion;
        }
        let flows: Vec<u32> = kept.iter().map(|flows| flows.round() as u32).collect();
        imbalance(&self.table, &flows)
    }

    /// Runs for `span_ms` and returns the imbalance of each second.
    pub fn run(&mut self, span_ms: u64) -> Vec<f64> {
        let mut seen = Vec::new();
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.step();
            if self.now_ms.is_multiple_of(1_000) {
                seen.push(self.imbalance());
            }
        }
        seen
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(Reverse((end_ms, target))) = self.ends.peek().copied() {
            if end_ms > self.now_ms {
                break;
            }
            self.ends.pop();
            self.agents[target].admission.flow_closed();
        }
        for _ in 0..self.arrivals() {
            self.open_flow();
        }
        for index in 0..self.agents.len() {
            if self.agents[index].alive && self.agents[index].next_exchange_ms <= self.now_ms {
                self.agents[index].next_exchange_ms = self.now_ms + self.load.exchange_ms;
                self.exchange(index);
            }
        }
    }

    /// Draws the number of arrivals in a step, a Poisson variate by counting exponential gaps.
    fn arrivals(&mut self) -> u64 {
        let units = self.table.total_weight() as f64 / 100.0;
        let per_ms = self.load.flows_per_target * units / self.load.lifetime_ms;
        let mut passed_ms = 0.0;
        let mut count = 0;
        loop {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            passed_ms -= uniform.ln() / per_ms;
            if passed_ms > STEP_MS as f64 {
                return count;
            }
            count += 1;
        }
    }

    fn open_flow(&mut self) {
        let opener_hash = self.random.random();
        let alive = |row: &TableRow| self.agents[index_of(row)].alive;
        let Some(chosen) = place_opener(&self.table, opener_hash, alive) else {
            self.refused += 1;
            return;
        };
        let (first, second) = (index_of(chosen.owner), chosen.runner_up.map(index_of));
        let taken = match self.policy {
            Policy::Hash => Some(first),
            Policy::TwoChoices => Some(self.less_loaded(first, second)),
            Policy::Deflect => self.decide(first, opener_hash),
        };
        match taken {
            Some(target) => self.accept(target),
            None => self.refused += 1,
        }
    }

    fn less_loaded(&self, first: usize, second: Option<usize>) -> usize {
        let agent = &self.agents[first];
        let Some(second) = second else {
            return first;
        };
        let Some(known) = agent
            .peer_loads
            .fresh_load(self.agents[second].host, self.now_ms)
        else {
            return first;
        };
        let own = u64::from(agent.admission.open_flows()) * u64::from(self.weight(second));
        let other = u64::from(known.report.open_flows) * u64::from(self.weight(first));
        if other < own { second } else { first }
    }

    fn weight(&self, index: usize) -> u32 {
        self.table
            .row_on(self.agents[index].host)
            .map_or(1, |row| row.weight)
    }

    fn decide(&mut self, first: usize, opener_hash: u64) -> Option<usize> {
        match self.decide_at(first, opener_hash, OpenerSource::Balancer) {
            Decision::Accept => Some(first),
            Decision::Deflect(peer) => self.hand_on(first, peer, opener_hash),
            Decision::Refuse(_) | Decision::Return => None,
        }
    }

    fn hand_on(&mut self, first: usize, peer: Ipv4Addr, opener_hash: u64) -> Option<usize> {
        self.deflected += 1;
        let peer = self.agents.iter().position(|agent| agent.host == peer)?;
        if !self.agents[peer].alive {
            return None;
        }
        if self.decide_at(peer, opener_hash, OpenerSource::DeflectingOwner) == Decision::Accept {
            return Some(peer);
        }
        let host = self.agents[peer].host;
        self.agents[first].peer_loads.record_returned_opener(host);
        let returned = self.decide_at(first, opener_hash, OpenerSource::ReturningPeer);
        (returned == Decision::Accept).then_some(first)
    }

    fn decide_at(&mut self, index: usize, opener_hash: u64, source: OpenerSource) -> Decision {
        let opener = Opener {
            hash: opener_hash,
            source,
            health_permille: 1_000,
        };
        let agent = &mut self.agents[index];
        agent.admission.prune(self.now_ms);
        agent.admission.decide(
            &opener,
            &self.table,
            &mut agent.peer_loads,
            self.now_ms,
            &mut self.random,
        )
    }

    fn accept(&mut self, target: usize) {
        self.agents[target].admission.flow_opened();
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let lifetime_ms = -uniform.ln() * self.load.lifetime_ms;
        self.ends
            .push(Reverse((self.now_ms + lifetime_ms as u64, target)));
    }

    fn exchange(&mut self, index: usize) {
        let peers: Vec<usize> = (0..self.agents.len())
            .filter(|peer| *peer != index && self.agents[*peer].alive)
            .collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.random.random_range(0..peers.len())];
        let ours = self.reports(index);
        let theirs = self.reports(peer);
        self.merge(index, &theirs);
        self.merge(peer, &ours);
    }

    fn reports(&mut self, index: usize) -> Vec<LoadReport> {
        let now_ms = self.now_ms;
        let agent = &mut self.agents[index];
        agent.sequence += 1;
        let mut reports = agent.peer_loads.fresh_reports(now_ms);
        reports.push(LoadReport {
            host: agent.host,
            incarnation: 1,
            sequence: agent.sequence,
            open_flows: agent.admission.open_flows(),
            busy_slots: 0,
            age_cs: 0,
            busy_centislots: 0,
            share_permille: agent.admission.share_permille(1_000, now_ms),
        });
        reports
    }

    fn merge(&mut self, index: usize, reports: &[LoadReport]) {
        let own = self.agents[index].host;
        for report in reports.iter().filter(|report| report.host != own) {
            self.agents[index].peer_loads.merge(*report, self.now_ms);
        }
    }
}

fn index_of(row: &TableRow) -> usize {
    row.target[1..].parse().unwrap_or(0)
}

/// Returns the greatest load over its share by the table, less one.
pub fn imbalance(table: &Table, open_flows: &[u32]) -> f64 {
    let total: f64 = open_flows.iter().map(|flows| f64::from(*flows)).sum();
    let excess = |row: &TableRow| {
        let flows = open_flows.get(index_of(row)).copied().unwrap_or(0);
        f64::from(flows) / (total * table.share(row)).max(1.0) - 1.0
    };
    let weighted = table.rows.iter().filter(|row| row.weight > 0);
    weighted.map(excess).fold(0.0, f64::max)
}
