//! How a change spreads among daemons: a deterministic run over the real graph of links.
//!
//! The links and readers come from the library; loss, delays and the choice of peers to compare with
//! come from a seeded source. Stores are reduced to "has the change", which is all that a single
//! change needs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use endivedyke::{HOSTS_HEADER, HostList, select_peers, select_readers};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How often a daemon compares its revisions with one peer, in milliseconds.
const COMPARE_MS: u64 = 1_000;

/// What the daemons and the network between them are like.
#[derive(Debug, Clone, Copy)]
pub struct RelayPlan {
    /// How many daemons there are, spread over six availability zones in two regions.
    pub daemons: usize,
    /// Which part of the messages is lost.
    pub loss_rate: f64,
    /// Which part of the daemons is down, though the host list still names them.
    pub dead_share: f64,
    /// Whether the regions are cut from each other for the first minute.
    pub is_partitioned: bool,
    /// The seed of the random source.
    pub seed: u64,
}

/// What the run showed.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayOutcome {
    /// When half of the live daemons had the change, in milliseconds.
    pub p50_ms: u64,
    /// When 99 % had it, in milliseconds.
    pub p99_ms: u64,
    /// When the last had it, in milliseconds.
    pub all_ms: u64,
    /// Tells sent by each daemon, in the mean.
    pub pushes_per_daemon: f64,
    /// The most tells that one daemon received.
    pub max_pushes_received: u64,
    /// Reads of the platform for the change.
    pub platform_reads: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Told(usize),
    Compare(usize),
}

struct Run<'a> {
    plan: &'a RelayPlan,
    peers: Vec<Vec<usize>>,
    alive: Vec<bool>,
    has: Vec<Option<u64>>,
    received: Vec<u64>,
    tells: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    random: StdRng,
}

const ZONES: usize = 6;
const CUT_MS: u64 = 60_000;

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + index as u32)
}

fn region(index: usize) -> usize {
    index % ZONES / (ZONES / 2)
}

/// Returns a host list of this many daemons.
fn hosts(daemons: usize) -> HostList {
    let mut text = format!("{HOSTS_HEADER}\n");
    for index in 0..daemons {
        text += &format!("{},zone-{},backend,live\n", address(index), index % ZONES);
    }
    HostList::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

fn index_of(address: Ipv4Addr) -> usize {
    (u32::from(address) - 0x0a00_0000) as usize
}

/// Spreads one change and returns how that went.
pub fn run(plan: &RelayPlan) -> RelayOutcome {
    let hosts = hosts(plan.daemons);
    let mut random = StdRng::seed_from_u64(plan.seed);
    let alive: Vec<bool> = (0..plan.daemons)
        .map(|_| !random.random_bool(plan.dead_share))
        .collect();
    let peers = (0..plan.daemons).map(|index| {
        let links = select_peers(&hosts, address(index), |_| true);
        links.into_iter().map(index_of).collect()
    });
    let mut run = Run {
        plan,
        peers: peers.collect(),
        has: vec![None; plan.daemons],
        received: vec![0; plan.daemons],
        tells: 0,
        events: BinaryHeap::new(),
        alive,
        random,
    };
    let mut platform_reads = 0;
    for zone in 0..ZONES {
        for reader in select_readers(&hosts, &format!("zone-{zone}"), |_| true) {
            // One watch that returns, one read of the value.
            platform_reads += 2;
            run.events.push(Reverse((2, Event::Told(index_of(reader)))));
        }
    }
    for index in 0..plan.daemons {
        let first_ms = run.random.random_range(0..COMPARE_MS);
        run.events.push(Reverse((first_ms, Event::Compare(index))));
    }
    run.spread();
    run.outcome(platform_reads)
}

impl Run<'_> {
    fn spread(&mut self) {
        let live = self.alive.iter().filter(|alive| **alive).count();
        let mut with = 0;
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            match event {
                Event::Told(index) => with += usize::from(self.told(index, now_ms)),
                Event::Compare(index) => with += usize::from(self.compare(index, now_ms)),
            }
            if with == live {
                return;
            }
        }
    }

    /// Returns whether the change was new to a live daemon.
    fn told(&mut self, index: usize, now_ms: u64) -> bool {
        self.received[index] += 1;
        if !self.alive[index] || self.has[index].is_some() {
            return false;
        }
        self.has[index] = Some(now_ms);
        for peer in self.peers[index].clone() {
            self.tells += 1;
            if self.passes(index, peer, now_ms) {
                let arrival_ms = now_ms + self.delay_ms(index, peer);
                self.events.push(Reverse((arrival_ms, Event::Told(peer))));
            }
        }
        true
    }

    fn compare(&mut self, index: usize, now_ms: u64) -> bool {
        self.events
            .push(Reverse((now_ms + COMPARE_MS, Event::Compare(index))));
        if !self.alive[index] || self.has[index].is_some() {
            return false;
        }
        let peer = self.peers[index][self.random.random_range(0..self.peers[index].len())];
        let knows = self.alive[peer] && self.has[peer].is_some();
        // Question, answer and fetch: three messages each way, any of which may be lost.
        let passes = (0..3).all(|_| self.passes(index, peer, now_ms));
        if !knows || !passes {
            return false;
        }
        self.told(index, now_ms)
    }

    fn passes(&mut self, from: usize, to: usize, now_ms: u64) -> bool {
        let cut = self.plan.is_partitioned && now_ms < CUT_MS && region(from) != region(to);
        !cut && !self.random.random_bool(self.plan.loss_rate)
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        if region(from) == region(to) {
            self.random.random_range(1..=4)
        } else {
            self.random.random_range(60..=120)
        }
    }

    fn outcome(&self, platform_reads: u64) -> RelayOutcome {
        let mut times: Vec<u64> = self.has.iter().flatten().copied().collect();
        times.sort_unstable();
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
        RelayOutcome {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            all_ms: at(1.0),
            pushes_per_daemon: self.tells as f64 / times.len() as f64,
            max_pushes_received: self.received.iter().copied().max().unwrap_or(0),
            platform_reads,
        }
    }
}
