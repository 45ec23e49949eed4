//! The loads of backend servers that agents have reported to a balancer.

use std::net::Ipv4Addr;

use crate::opaque::packets::message::UNKNOWN_LOAD_PERMILLE;

/// The age at which a load expires for the choice between two candidates, in milliseconds: twice
/// the time over which the load is averaged.
const CHOICE_MAX_AGE_MS: u64 = 2_000;
/// The age at which a load expires for the mean of a service, in milliseconds: the time over which
/// that load is averaged. Within it, one of fifty balancers gets messages of about half of a hundred
/// agents.
const MEAN_MAX_AGE_MS: u64 = 10_000;
/// The least number of loads for a mean. Fewer say little about the other backend servers.
const MIN_HOSTS: u32 = 4;
/// How much lower the load of a flow's second candidate must be for the flow to go there, in
/// thousandths of a slot. With a smaller difference, the wait saved is less than the cost of a lookup,
/// which a balancer without a hint for the flow then causes.
const MIN_DIFFERENCE_PERMILLE: u16 = 250;

/// The newest load of each host and when it was recorded, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct HostLoads {
    loads: Vec<(Ipv4Addr, u16, u64)>,
}

impl HostLoads {
    /// Records the load of a message's sender.
    pub(crate) fn record(&mut self, host: Ipv4Addr, permille: u16, now_ms: u64) {
        if permille == UNKNOWN_LOAD_PERMILLE {
            return;
        }
        match self.loads.binary_search_by_key(&host, |load| load.0) {
            Ok(index) => self.loads[index] = (host, permille, now_ms),
            Err(index) => self.loads.insert(index, (host, permille, now_ms)),
        }
    }

    /// Returns whether `second` is known to be clearly less loaded than `first`.
    pub(crate) fn is_less_loaded(&self, second: Ipv4Addr, first: Ipv4Addr, now_ms: u64) -> bool {
        match (
            self.recent_permille(second, now_ms),
            self.recent_permille(first, now_ms),
        ) {
            (Some(second), Some(first)) => second.saturating_add(MIN_DIFFERENCE_PERMILLE) < first,
            _ => false,
        }
    }

    /// Returns the mean of the unexpired loads of `hosts` in thousandths, or `None` if there are too few.
    pub(crate) fn mean_permille(
        &self,
        hosts: impl Iterator<Item = Ipv4Addr>,
        now_ms: u64,
    ) -> Option<u16> {
        let (mut sum, mut count) = (0, 0);
        for permille in hosts.filter_map(|host| self.permille_within(host, MEAN_MAX_AGE_MS, now_ms))
        {
            sum += u32::from(permille);
            count += 1;
        }
        (count >= MIN_HOSTS).then(|| (sum / count) as u16)
    }

    /// Removes expired loads.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.loads
            .retain(|(_, _, recorded_ms)| now_ms < recorded_ms + MEAN_MAX_AGE_MS);
    }

    fn recent_permille(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        self.permille_within(host, CHOICE_MAX_AGE_MS, now_ms)
    }

    fn permille_within(&self, host: Ipv4Addr, max_age_ms: u64, now_ms: u64) -> Option<u16> {
        let index = self.loads.binary_search_by_key(&host, |load| load.0).ok()?;
        let (_, permille, recorded_ms) = self.loads[index];
        (now_ms < recorded_ms + max_age_ms).then_some(permille)
    }
}
