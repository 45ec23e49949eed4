//! What a balancer heard of the loads of backend servers.

use std::net::Ipv4Addr;

use crate::opaque::packets::message::UNKNOWN_LOAD_PERMILLE;

/// The age at which a load no longer counts for a choice of two, in milliseconds: twice the time over which
/// it is a mean.
const MAX_AGE_MS: u64 = 2_000;
/// The age at which the load over a longer time no longer counts for the mean of a service, in milliseconds: that
/// over which it is a mean, in which one of fifty balancers hears about half of a hundred agents.
const MEAN_MAX_AGE_MS: u64 = 10_000;
/// From how many loads a mean is told: fewer say little of the others.
const MIN_KNOWN: u32 = 4;
/// How much lower the load of a flow's second target must be for it to go there, in thousandths of a
/// slot: below it, what is saved in waiting is less than the question who holds the flow, which a
/// balancer without its hint must have asked.
const MARGIN_PERMILLE: u16 = 250;

/// The newest load heard of each host, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct HostLoads {
    loads: Vec<(Ipv4Addr, u16, u64)>,
}

impl HostLoads {
    /// Notes what a message told of its sender's load.
    pub(crate) fn record(&mut self, host: Ipv4Addr, permille: u16, now_ms: u64) {
        if permille == UNKNOWN_LOAD_PERMILLE {
            return;
        }
        match self.loads.binary_search_by_key(&host, |load| load.0) {
            Ok(index) => self.loads[index] = (host, permille, now_ms),
            Err(index) => self.loads.insert(index, (host, permille, now_ms)),
        }
    }

    /// Tells whether a flow should rather go to `second` than to `first`.
    pub(crate) fn is_less_loaded(&self, second: Ipv4Addr, first: Ipv4Addr, now_ms: u64) -> bool {
        match (self.get(second, now_ms), self.get(first, now_ms)) {
            (Some(second), Some(first)) => second.saturating_add(MARGIN_PERMILLE) < first,
            _ => false,
        }
    }

    /// Returns the mean load of those of the hosts that were heard of lately, where they are enough to tell.
    pub(crate) fn mean_permille(&self, hosts: impl Iterator<Item = Ipv4Addr>, now_ms: u64) -> Option<u16> {
        let (mut sum, mut count) = (0, 0);
        for permille in hosts.filter_map(|host| self.newer_than(host, MEAN_MAX_AGE_MS, now_ms)) {
            sum += u32::from(permille);
            count += 1;
        }
        (count >= MIN_KNOWN).then(|| (sum / count) as u16)
    }

    /// Forgets loads that no longer count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.loads
            .retain(|(_, _, heard_ms)| now_ms < heard_ms + MEAN_MAX_AGE_MS);
    }

    fn get(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        self.newer_than(host, MAX_AGE_MS, now_ms)
    }

    fn newer_than(&self, host: Ipv4Addr, max_age_ms: u64, now_ms: u64) -> Option<u16> {
        let index = self.loads.binary_search_by_key(&host, |load| load.0).ok()?;
        let (_, permille, heard_ms) = self.loads[index];
        (now_ms < heard_ms + max_age_ms).then_some(permille)
    }
}
