//! A deterministic model of the spread of one change among daemons, over the product's graph of
//! links.
//!
//! The library chooses the links and the readers; loss, delays and the choice of peers to compare
//! revisions with come from a seeded random source. The config store of a daemon is reduced to
//! whether it has the change.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

use endivedyke::{HOSTS_HEADER, HostList, select_peers, select_readers};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The interval at which a daemon compares its revisions with one random peer, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RelayPlan {
    /// The number of daemons, which are spread over six availability zones in two regions.
    pub daemons: usize,
    /// The share of messages that are lost.
    pub loss_rate: f64,
    /// The share of daemons that are down but still in the host list.
    pub dead_share: f64,
    /// Whether the regions are partitioned from each other for the first minute.
    pub is_partitioned: bool,
    /// The seed of the random source.
    pub seed: u64,
}

/// The results of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayOutcome {
    /// The time until half of the live daemons have the change, in milliseconds.
    pub p50_ms: u64,
    /// The time until 99 % of them have it, in milliseconds.
    pub p99_ms: u64,
    /// The time until all of them have it, in milliseconds.
    pub all_ms: u64,
    /// The mean number of pushes of the change that a live daemon sends to peers.
    pub pushes_per_daemon: f64,
    /// The greatest number of times that one daemon received the change.
    pub max_pushes_received: u64,
    /// The number of reads of the platform for the change.
    pub platform_reads: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A push of the change arrives at a daemon.
    PushArrives(usize),
    /// A daemon compares its revisions with a peer.
    Compare(usize),
}

struct Run<'a> {
    plan: &'a RelayPlan,
    peers: Vec<Vec<usize>>,
    is_alive: Vec<bool>,
    /// For each daemon, the time in milliseconds at which it got the change, if it has it.
    got_change_ms: Vec<Option<u64>>,
    pushes_received: Vec<u64>,
    pushes_sent: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    random: StdRng,
}

const ZONES: usize = 6;
const PARTITION_MS: u64 = 60_000;

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + index as u32)
}

fn region(index: usize) -> usize {
    index % ZONES / (ZONES / 2)
}

/// Returns a host list of this many daemons.
fn host_list(daemons: usize) -> HostList {
    let mut text = format!("{HOSTS_HEADER}\n");
    for index in 0..daemons {
        text += &format!("{},zone-{},backend,live\n", address(index), index % ZONES);
    }
    HostList::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

fn daemon_index(address: Ipv4Addr) -> usize {
    (u32::from(address) - 0x0a00_0000) as usize
}

/// Runs the model until all live daemons have the change, and returns the results.
pub fn run(plan: &RelayPlan) -> RelayOutcome {
    let hosts = host_list(plan.daemons);
    let mut random = StdRng::seed_from_u64(plan.seed);
    let is_alive: Vec<bool> = (0..plan.daemons)
        .map(|_| !random.random_bool(plan.dead_share))
        .collect();
    let peers = (0..plan.daemons).map(|index| {
        let links = select_peers(&hosts, address(index), |_| true);
        links.into_iter().map(daemon_index).collect()
    });
    let mut run = Run {
        plan,
        peers: peers.collect(),
        got_change_ms: vec![None; plan.daemons],
        pushes_received: vec![0; plan.daemons],
        pushes_sent: 0,
        events: BinaryHeap::new(),
        is_alive,
        random,
    };
    let mut platform_reads = 0;
    for zone in 0..ZONES {
        for reader in select_readers(&hosts, &format!("zone-{zone}"), |_| true) {
            // One watch that returns, and one read of the value.
            platform_reads += 2;
            run.events
                .push(Reverse((2, Event::PushArrives(daemon_index(reader)))));
        }
    }
    for index in 0..plan.daemons {
        let first_ms = run.random.random_range(0..COMPARE_INTERVAL_MS);
        run.events.push(Reverse((first_ms, Event::Compare(index))));
    }
    run.spread();
    run.outcome(platform_reads)
}

impl Run<'_> {
    /// Processes events until all live daemons have the change.
    fn spread(&mut self) {
        let live = self.is_alive.iter().filter(|alive| **alive).count();
        let mut with_change = 0;
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            match event {
                Event::PushArrives(index) => {
                    with_change += usize::from(self.receive(index, now_ms))
                }
                Event::Compare(index) => with_change += usize::from(self.compare(index, now_ms)),
            }
            if with_change == live {
                return;
            }
        }
    }

    /// Delivers the change to a daemon, which pushes it to its peers if it is new. Returns whether
    /// it was new to a live daemon.
    fn receive(&mut self, index: usize, now_ms: u64) -> bool {
        self.pushes_received[index] += 1;
        if !self.is_alive[index] || self.got_change_ms[index].is_some() {
            return false;
        }
        self.got_change_ms[index] = Some(now_ms);
        for peer in self.peers[index].clone() {
            self.pushes_sent += 1;
            if self.is_delivered(index, peer, now_ms) {
                let arrival_ms = now_ms + self.delay_ms(index, peer);
                self.events
                    .push(Reverse((arrival_ms, Event::PushArrives(peer))));
            }
        }
        true
    }

    /// Compares a daemon's revisions with a random peer's, and fetches the change if the peer has
    /// it. Returns whether the daemon got the change.
    fn compare(&mut self, index: usize, now_ms: u64) -> bool {
        self.events.push(Reverse((
            now_ms + COMPARE_INTERVAL_MS,
            Event::Compare(index),
        )));
        if !self.is_alive[index] || self.got_change_ms[index].is_some() {
            return false;
        }
        let peer = self.peers[index][self.random.random_range(0..self.peers[index].len())];
        let peer_has_change = self.is_alive[peer] && self.got_change_ms[peer].is_some();
        // Request, response and fetch: three messages, any of which may be lost.
        let all_delivered = (0..3).all(|_| self.is_delivered(index, peer, now_ms));
        if !peer_has_change || !all_delivered {
            return false;
        }
        self.receive(index, now_ms)
    }

    /// Draws whether a message arrives.
    fn is_delivered(&mut self, from: usize, to: usize, now_ms: u64) -> bool {
        let is_blocked =
            self.plan.is_partitioned && now_ms < PARTITION_MS && region(from) != region(to);
        !is_blocked && !self.random.random_bool(self.plan.loss_rate)
    }

    fn delay_ms(&mut self, from: usize, to: usize) -> u64 {
        if region(from) == region(to) {
            self.random.random_range(1..=4)
        } else {
            self.random.random_range(60..=120)
        }
    }

    fn outcome(&self, platform_reads: u64) -> RelayOutcome {
        let mut times: Vec<u64> = self.got_change_ms.iter().flatten().copied().collect();
        times.sort_unstable();
        let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        RelayOutcome {
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            all_ms: percentile(1.0),
            pushes_per_daemon: self.pushes_sent as f64 / times.len() as f64,
            max_pushes_received: self.pushes_received.iter().copied().max().unwrap_or(0),
            platform_reads,
        }
    }
}
