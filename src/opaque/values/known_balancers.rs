//! The balancers that an agent heard of, and who greets one that has gone quiet.
//!
//! A balancer that starts knows the platform and its seeds, which are balancers too. Where all of them were
//! killed while the platform answers nobody, only agents still hold a configuration: greeted by them, balancers
//! serve as soon as they have started, and not when the platform is back. See docs/OPAQUE.md, "How values travel".

use std::net::Ipv4Addr;

use crate::config::hash;

/// For how long a balancer that forwarded something counts as one that carries traffic, in milliseconds: twice
/// the time in which the platform notices that one is gone.
const ACTIVE_MS: u64 = 2_000;
/// For how long a balancer is remembered that says nothing, in milliseconds: some restarts of a host, and the
/// longest life of a flow that may stand behind it.
const REMEMBERED_MS: u64 = 60_000;
/// After how long a silence a balancer is greeted, in milliseconds: one that carries traffic is heard more
/// often, and one that was killed needs longer to start.
const QUIET_MS: u64 = 250;
/// The most balancers that are remembered: those of a site of some hundred hosts. What is told to all of them
/// is told at the moment when an agent has the least time.
const MAX_BALANCERS: usize = 32;
/// How many agents greet a balancer: a few, so that one lives and is not cut off.
const GREETERS: usize = 3;

/// Balancers and when each was heard last, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct KnownBalancers {
    heard: Vec<(Ipv4Addr, u64)>,
}

impl KnownBalancers {
    /// Notes that a balancer said something.
    pub(crate) fn record_message(&mut self, host: Ipv4Addr, now_ms: u64) {
        match self.heard.binary_search_by_key(&host, |(host, _)| *host) {
            Ok(index) => self.heard[index].1 = now_ms,
            Err(index) => {
                self.heard.insert(index, (host, now_ms));
                self.forget(now_ms);
            }
        }
    }

    /// Returns those that carry traffic.
    pub(crate) fn active(&self, now_ms: u64) -> impl Iterator<Item = Ipv4Addr> {
        let heard = self.heard.iter();
        let active = heard.filter(move |(_, heard_ms)| now_ms < heard_ms + ACTIVE_MS);
        active.map(|(host, _)| *host)
    }

    /// Returns those that are quiet and that the agent on `own` is to greet, as one of a few among `agents`.
    ///
    /// The seeds are greeted whether they were heard or not: an agent hears few of many balancers, and a balancer
    /// that starts asks the seeds.
    pub(crate) fn balancers_to_greet(
        &mut self,
        own: Ipv4Addr,
        agents: &[Ipv4Addr],
        seeds: &[Ipv4Addr],
        now_ms: u64,
    ) -> Vec<Ipv4Addr> {
        self.forget(now_ms);
        let heard = self.heard.iter().map(|(host, _)| *host);
        let mut known: Vec<Ipv4Addr> = heard.chain(seeds.iter().copied()).collect();
        known.sort_unstable();
        known.dedup();
        known.retain(|host| self.is_quiet(*host, now_ms) && is_greeter(own, *host, agents));
        known
    }

    fn is_quiet(&self, host: Ipv4Addr, now_ms: u64) -> bool {
        let found = self.heard.binary_search_by_key(&host, |(host, _)| *host);
        found.map_or(true, |index| now_ms >= self.heard[index].1 + QUIET_MS)
    }

    fn forget(&mut self, now_ms: u64) {
        self.heard
            .retain(|(_, heard_ms)| now_ms < heard_ms + REMEMBERED_MS);
        while self.heard.len() > MAX_BALANCERS {
            let quietest = (0..self.heard.len()).min_by_key(|index| self.heard[*index].1);
            self.heard.remove(quietest.unwrap_or_default());
        }
    }
}

/// Tells whether fewer than [`GREETERS`] agents come before `own` in the order of a balancer.
fn is_greeter(own: Ipv4Addr, balancer: Ipv4Addr, agents: &[Ipv4Addr]) -> bool {
    let balancer_hash = hash::host_hash(balancer);
    let rank = |agent: Ipv4Addr| (hash::host_rank(balancer_hash, agent), agent);
    let own_rank = rank(own);
    let mut before = agents.iter().filter(|agent| rank(**agent) < own_rank);
    before.nth(GREETERS - 1).is_none()
}
