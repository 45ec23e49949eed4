//! The balancers known to an agent, and which of them it greets.
//!
//! A starting balancer knows only the platform and its seeds, which are balancers too. If all
//! balancers were killed while the platform is unreachable, only agents still hold a configuration.
//! Their greetings let balancers fetch it and serve right after their start, instead of waiting for
//! the platform. See docs/OPAQUE.md, "How values travel".

use std::net::Ipv4Addr;

use crate::config::hash;

/// The time after its last message for which a balancer is active, in milliseconds: twice the time
/// in which the platform notices that a balancer is gone.
const ACTIVE_MS: u64 = 2_000;
/// The time after its last message for which a balancer is remembered, in milliseconds: it covers
/// several restarts of a host, and the longest lifetime of a flow through the balancer.
const RETENTION_MS: u64 = 60_000;
/// The time after its last message at which a balancer is greeted, in milliseconds. A balancer that
/// carries traffic sends messages more often, and one that was killed takes longer to start.
const QUIET_MS: u64 = 250;
/// The most balancers that are remembered: those of a site of a few hundred hosts. Messages to all
/// of them are sent when an agent is busiest.
const MAX_BALANCERS: usize = 32;
/// The number of agents that greet a balancer: a few, so that at least one is alive and reachable.
const GREETER_COUNT: usize = 3;

/// The hosts of balancers and the time of the last message of each, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct KnownBalancers {
    last_messages: Vec<(Ipv4Addr, u64)>,
}

impl KnownBalancers {
    /// Records a message of a balancer.
    pub(crate) fn record_message(&mut self, host: Ipv4Addr, now_ms: u64) {
        match self
            .last_messages
            .binary_search_by_key(&host, |(host, _)| *host)
        {
            Ok(index) => self.last_messages[index].1 = now_ms,
            Err(index) => {
                self.last_messages.insert(index, (host, now_ms));
                self.expire(now_ms);
            }
        }
    }

    /// Returns the balancers that carry traffic.
    pub(crate) fn active(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        let known = self.last_messages.iter();
        let active = known.filter(move |(_, last_ms)| now_ms < last_ms + ACTIVE_MS);
        active.map(|(host, _)| *host)
    }

    /// Returns the quiet balancers that the agent on host `own` has to greet; a few of `agents`
    /// greet each one.
    ///
    /// Seeds are greeted even if they never sent a message here: an agent gets messages of few of
    /// many balancers, and a starting balancer asks the seeds for a configuration.
    pub(crate) fn balancers_to_greet(
        &mut self,
        own: Ipv4Addr,
        agents: &[Ipv4Addr],
        seeds: &[Ipv4Addr],
        now_ms: u64,
    ) -> Vec<Ipv4Addr> {
        self.expire(now_ms);
        let senders = self.last_messages.iter().map(|(host, _)| *host);
        let mut known: Vec<Ipv4Addr> = senders.chain(seeds.iter().copied()).collect();
        known.sort_unstable();
        known.dedup();
        known.retain(|host| self.is_quiet(*host, now_ms) && is_greeter(own, *host, agents));
        known
    }

    fn is_quiet(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self
            .last_messages
            .binary_search_by_key(&host, |(host, _)| *host);
        found.map_or(true, |index| {
            now_ms >= self.last_messages[index].1 + QUIET_MS
        })
    }

    fn expire(&mut self, now_ms: u64) {
        self.last_messages
            .retain(|(_, last_ms)| now_ms < last_ms + RETENTION_MS);
        while self.last_messages.len() > MAX_BALANCERS {
            let oldest =
                (0..self.last_messages.len()).min_by_key(|index| self.last_messages[*index].1);
            self.last_messages.remove(oldest.unwrap_or_default());
        }
    }
}

/// Returns whether `own` is among the first [`GREETER_COUNT`] of `agents` in the hash order of a
/// balancer.
fn is_greeter(own: Ipv4Addr, balancer: Ipv4Addr, agents: &[Ipv4Addr]) -> bool {
    let balancer_hash = hash::host_hash(balancer);
    let rank = |agent: Ipv4Addr| (hash::host_rank(balancer_hash, agent), agent);
    let own_rank = rank(own);
    let mut before = agents.iter().filter(|agent| rank(**agent) < own_rank);
    before.nth(GREETER_COUNT - 1).is_none()
}
