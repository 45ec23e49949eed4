//! A deterministic model of the agents of one service, under arrivals, load reports and weight
//! changes.
//!
//! It models no packets, no processes and no other service. The library's own `Admission` and
//! `PeerLoads` make the decisions; arrivals, lifetimes and the choice of peers come from a seeded
//! random source.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use endivedyke::{
    Admission, Decision, LoadReport, Opener, OpenerSource, PeerLoads, TABLE_HEADER, Table,
    TableRow, place_opener,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;

/// The policy that chooses the target of an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The owner by weighted hash takes every opener; the baseline.
    Hash,
    /// The owner passes the opener to the runner-up of the same hash if that reported less load.
    TwoChoices,
    /// The product's admission, in which the owner may deflect the opener to a peer.
    Deflect,
}

/// The load on the modelled service.
#[derive(Debug, Clone, Copy)]
pub struct ModelLoad {
    /// The mean number of open flows of a target with weight 100.
    pub flows_per_target: f64,
    /// The mean lifetime of a flow, in milliseconds.
    pub lifetime_ms: f64,
    /// The interval at which an agent exchanges load reports with one random peer, in milliseconds.
    pub exchange_ms: u64,
}

struct ModelAgent {
    host: Ipv4Addr,
    admission: Admission,
    peer_loads: PeerLoads,
    sequence: u32,
    next_exchange_ms: u64,
    is_alive: bool,
}

/// The model of one service.
pub struct ServiceModel {
    policy: Policy,
    load: ModelLoad,
    table: Table,
    agents: Vec<ModelAgent>,
    /// The open flows as pairs of the end time in milliseconds and the target, earliest end first.
    flow_ends: BinaryHeap<Reverse<(u64, usize)>>,
    random: StdRng,
    now_ms: u64,
    refused: u64,
    deflected: u64,
}

fn host_of_target(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250 + 1) as u8)
}

/// Returns a table with one target for each weight.
fn table_with_weights(weights: &[u32]) -> Table {
    let mut text = format!("{TABLE_HEADER}\n");
    for (index, weight) in weights.iter().enumerate() {
        let host = host_of_target(index);
        text += &format!("model,192.0.2.1:443,t{index:04},{host},{host}:80,{weight},4,1000000\n");
    }
    Table::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

impl ServiceModel {
    /// Creates a service with one warm target for each weight and no open flow.
    pub fn new(policy: Policy, weights: &[u32], load: ModelLoad, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let agent = |index| ModelAgent {
            host: host_of_target(index),
            admission: Admission::after_slow_start(host_of_target(index)),
            peer_loads: PeerLoads::default(),
            sequence: 0,
            next_exchange_ms: random.random_range(0..load.exchange_ms),
            is_alive: true,
        };
        Self {
            policy,
            load,
            table: table_with_weights(weights),
            agents: (0..weights.len()).map(agent).collect(),
            flow_ends: BinaryHeap::new(),
            random,
            now_ms: endivedyke::SLOW_START_MS,
            refused: 0,
            deflected: 0,
        }
    }

    /// Sets the weights of all targets; additional targets start cold.
    pub fn set_weights(&mut self, weights: &[u32]) {
        self.table = table_with_weights(weights);
        for index in self.agents.len()..weights.len() {
            self.agents.push(ModelAgent {
                host: host_of_target(index),
                admission: Admission::new(host_of_target(index), self.now_ms),
                peer_loads: PeerLoads::default(),
                sequence: 0,
                next_exchange_ms: self.now_ms,
                is_alive: true,
            });
        }
    }

    /// Drains a target: it takes no more openers, and its open flows continue.
    pub fn drain(&mut self, index: usize) {
        self.agents[index].admission.set_draining(true);
    }

    /// Kills a target, whose flows are lost and reopened at once, and returns their number.
    pub fn kill(&mut self, index: usize) -> u64 {
        let lost = u64::from(self.agents[index].admission.open_flows());
        self.agents[index].is_alive = false;
        self.agents[index].admission = Admission::after_slow_start(host_of_target(index));
        self.flow_ends
            .retain(|Reverse((_, target))| *target != index);
        for _ in 0..lost {
            self.open_flow();
        }
        lost
    }

    /// Opens this many flows at once.
    pub fn fill(&mut self, flows: u64) {
        for _ in 0..flows {
            self.open_flow();
        }
    }

    /// Closes all flows and reopens as many within `span_ms`, as after an outage of the site.
    pub fn reopen_all(&mut self, span_ms: u64) {
        let flows = self.flow_ends.len() as u64;
        for Reverse((_, target)) in std::mem::take(&mut self.flow_ends) {
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

    /// Returns the number of refused openers and the number of openers deflected to a peer.
    pub fn refused_and_deflected(&self) -> (u64, u64) {
        (self.refused, self.deflected)
    }

    /// Returns the current imbalance, as [`imbalance`] defines it.
    pub fn imbalance(&self) -> f64 {
        imbalance(&self.table, &self.open_flows())
    }

    /// Returns a lower bound of the imbalance that any policy can reach within `span_ms` without
    /// moving open flows.
    ///
    /// Each target keeps the flows that don't end by then, and all expected arrivals go to the
    /// target with the lowest load for its weight (water-filling).
    pub fn imbalance_lower_bound(&self, span_ms: u64) -> f64 {
        let until_ms = self.now_ms + span_ms;
        let mut kept = vec![0.0; self.agents.len()];
        for Reverse((end_ms, target)) in &self.flow_ends {
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

    /// Runs the model for `span_ms` and returns the imbalance at each second.
    pub fn run(&mut self, span_ms: u64) -> Vec<f64> {
        let mut imbalances = Vec::new();
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.step();
            if self.now_ms.is_multiple_of(1_000) {
                imbalances.push(self.imbalance());
            }
        }
        imbalances
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while let Some(Reverse((end_ms, target))) = self.flow_ends.peek().copied() {
            if end_ms > self.now_ms {
                break;
            }
            self.flow_ends.pop();
            self.agents[target].admission.flow_closed();
        }
        for _ in 0..self.draw_arrivals() {
            self.open_flow();
        }
        for index in 0..self.agents.len() {
            if self.agents[index].is_alive && self.agents[index].next_exchange_ms <= self.now_ms {
                self.agents[index].next_exchange_ms = self.now_ms + self.load.exchange_ms;
                self.exchange(index);
            }
        }
    }

    /// Draws the number of arrivals in a step from a Poisson distribution, by counting
    /// exponentially distributed gaps.
    fn draw_arrivals(&mut self) -> u64 {
        let units = self.table.total_weight() as f64 / 100.0;
        let per_ms = self.load.flows_per_target * units / self.load.lifetime_ms;
        let mut elapsed_ms = 0.0;
        let mut count = 0;
        loop {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            elapsed_ms -= uniform.ln() / per_ms;
            if elapsed_ms > STEP_MS as f64 {
                return count;
            }
            count += 1;
        }
    }

    fn open_flow(&mut self) {
        let opener_hash = self.random.random();
        let is_alive = |row: &TableRow| self.agents[target_index(row)].is_alive;
        let Some(placement) = place_opener(&self.table, opener_hash, is_alive) else {
            self.refused += 1;
            return;
        };
        let (owner, runner_up) = (
            target_index(placement.owner),
            placement.runner_up.map(target_index),
        );
        let target = match self.policy {
            Policy::Hash => Some(owner),
            Policy::TwoChoices => Some(self.less_loaded(owner, runner_up)),
            Policy::Deflect => self.admit(owner, opener_hash),
        };
        match target {
            Some(target) => self.accept(target),
            None => self.refused += 1,
        }
    }

    /// Returns the runner-up if its reported load for its weight is below that of the owner, and the
    /// owner otherwise.
    fn less_loaded(&self, owner: usize, runner_up: Option<usize>) -> usize {
        let agent = &self.agents[owner];
        let Some(runner_up) = runner_up else {
            return owner;
        };
        let Some(peer_load) = agent
            .peer_loads
            .fresh_load(self.agents[runner_up].host, self.now_ms)
        else {
            return owner;
        };
        let own = u64::from(agent.admission.open_flows()) * u64::from(self.weight(runner_up));
        let other = u64::from(peer_load.report.open_flows) * u64::from(self.weight(owner));
        if other < own { runner_up } else { owner }
    }

    fn weight(&self, index: usize) -> u32 {
        self.table
            .row_on(self.agents[index].host)
            .map_or(1, |row| row.weight)
    }

    /// Returns the target that admits the opener, or `None` if it is refused.
    fn admit(&mut self, owner: usize, opener_hash: u64) -> Option<usize> {
        match self.decide_at(owner, opener_hash, OpenerSource::Balancer) {
            Decision::Accept => Some(owner),
            Decision::Deflect(peer) => self.deflect(owner, peer, opener_hash),
            Decision::Refuse(_) | Decision::Return => None,
        }
    }

    /// Offers an opener to a peer, and returns it to the owner if the peer does not accept it.
    fn deflect(&mut self, owner: usize, peer: Ipv4Addr, opener_hash: u64) -> Option<usize> {
        self.deflected += 1;
        let peer = self.agents.iter().position(|agent| agent.host == peer)?;
        if !self.agents[peer].is_alive {
            return None;
        }
        if self.decide_at(peer, opener_hash, OpenerSource::DeflectingOwner) == Decision::Accept {
            return Some(peer);
        }
        let host = self.agents[peer].host;
        self.agents[owner].peer_loads.record_returned_opener(host);
        let returned = self.decide_at(owner, opener_hash, OpenerSource::ReturningPeer);
        (returned == Decision::Accept).then_some(owner)
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
        self.flow_ends
            .push(Reverse((self.now_ms + lifetime_ms as u64, target)));
    }

    fn exchange(&mut self, index: usize) {
        let peers: Vec<usize> = (0..self.agents.len())
            .filter(|peer| *peer != index && self.agents[*peer].is_alive)
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

/// Returns the index of a target, which its name contains after the first character.
fn target_index(row: &TableRow) -> usize {
    row.target[1..].parse().unwrap_or(0)
}

/// Returns the imbalance of open flows: the greatest ratio of a target's flows to its share by the
/// table, minus 1.
pub fn imbalance(table: &Table, open_flows: &[u32]) -> f64 {
    let total: f64 = open_flows.iter().map(|flows| f64::from(*flows)).sum();
    let excess = |row: &TableRow| {
        let flows = open_flows.get(target_index(row)).copied().unwrap_or(0);
        f64::from(flows) / (total * table.share(row)).max(1.0) - 1.0
    };
    let weighted = table.rows.iter().filter(|row| row.weight > 0);
    weighted.map(excess).fold(0.0, f64::max)
}
