//! What a balancer heard of the loads of backend servers.

use std::net::Ipv4Addr;

use crate::opaque::packets::message::UNKNOWN_LOAD;

/// The age at which a load no longer counts, in milliseconds: twice the time over which it is a mean.
const MAX_AGE_MS: u64 = 2_000;
/// How much lower the load of a flow's second target must be for it to go there, in thousandths of a
/// slot: below it, what is saved in waiting is less than the question who holds the flow, which a
/// balancer without its hint must have asked.
const MARGIN_PERMILLE: u16 = 250;

/// The newest load heard of each host, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct KnownLoads {
    loads: Vec<(Ipv4Addr, u16, u64)>,
}

impl KnownLoads {
    /// Notes what a message told of its sender's load.
    pub(crate) fn heard(&mut self, host: Ipv4Addr, permille: u16, now_ms: u64) {
        if permille == UNKNOWN_LOAD {
            return;
        }
        match self.loads.binary_search_by_key(&host, |load| load.0) {
            Ok(index) => self.loads[index] = (host, permille, now_ms),
            Err(index) => self.loads.insert(index, (host, permille, now_ms)),
        }
    }

    /// Tells whether a flow should rather go to `second` than to `first`.
    pub(crate) fn prefers(&self, second: Ipv4Addr, first: Ipv4Addr, now_ms: u64) -> bool {
        match (self.get(second, now_ms), self.get(first, now_ms)) {
            (Some(second), Some(first)) => second.saturating_add(MARGIN_PERMILLE) < first,
            _ => false,
        }
    }

    /// Forgets loads that no longer count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.loads
            .retain(|(_, _, heard_ms)| now_ms < heard_ms + MAX_AGE_MS);
    }

    fn get(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        let index = self.loads.binary_search_by_key(&host, |load| load.0).ok()?;
        let (_, permille, heard_ms) = self.loads[index];
        (now_ms < heard_ms + MAX_AGE_MS).then_some(permille)
    }
}
