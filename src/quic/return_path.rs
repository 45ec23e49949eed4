//! The choice of the balancer through which an agent answers.

use std::net::Ipv4Addr;

/// The silence after which a balancer is no longer used while others send datagrams, in
/// milliseconds.
pub(crate) const BALANCER_SILENCE_MS: u64 = 300;
/// The silence of all balancers after which answers try each of them in turn, in milliseconds.
pub(crate) const ALL_SILENT_MS: u64 = 1_000;

/// A balancer that has sent datagrams.
#[derive(Debug, Clone, Copy)]
struct KnownBalancer {
    balancer: Ipv4Addr,
    last_datagram_ms: u64,
    is_leaving: bool,
}

/// The balancers from which an agent received datagrams, and the choice among them.
#[derive(Debug, Default)]
pub struct ReturnPath {
    balancers: Vec<KnownBalancer>,
    last_index: usize,
}

impl ReturnPath {
    /// Records a datagram from a balancer.
    pub fn record_datagram(&mut self, balancer: Ipv4Addr, now_ms: u64) {
        let entry = KnownBalancer {
            balancer,
            last_datagram_ms: now_ms,
            is_leaving: false,
        };
        match self.position(balancer) {
            Ok(index) => self.balancers[index] = entry,
            Err(index) => self.balancers.insert(index, entry),
        }
    }

    /// Records that a balancer is about to stop, so that no more answers are sent through it.
    pub fn set_leaving(&mut self, balancer: Ipv4Addr) {
        if let Ok(index) = self.position(balancer) {
            self.balancers[index].is_leaving = true;
        }
    }

    /// Chooses the balancer for an answer to a flow whose packets last came through `last`.
    ///
    /// A live `last` is kept, since its path is known to work in both directions. If it is silent
    /// while others send datagrams, the one with the latest datagram replaces it. If all are
    /// silent, the balancers of the host list, `listed`, are tried in turn, since any live one can
    /// reach the caller.
    pub fn choose(&mut self, last: Ipv4Addr, now_ms: u64, listed: &[Ipv4Addr]) -> Ipv4Addr {
        let usable = self.balancers.iter().filter(|known| !known.is_leaving);
        let Some(newest) = usable.max_by_key(|known| known.last_datagram_ms).copied() else {
            return self.next_listed(last, listed);
        };
        if now_ms.saturating_sub(newest.last_datagram_ms) > ALL_SILENT_MS {
            return self.next_listed(newest.balancer, listed);
        }
        match self.position(last) {
            Ok(index) if is_alive(&self.balancers[index], &newest) => last,
            _ => newest.balancer,
        }
    }

    /// Removes balancers without a datagram for `age_ms`.
    pub fn prune(&mut self, now_ms: u64, age_ms: u64) {
        self.balancers
            .retain(|known| now_ms.saturating_sub(known.last_datagram_ms) < age_ms);
    }

    /// Returns the known balancers with the age of their last datagram in milliseconds.
    pub fn ages_ms(&self, now_ms: u64) -> Vec<(Ipv4Addr, u64)> {
        let age_ms = |known: &KnownBalancer| {
            (
                known.balancer,
                now_ms.saturating_sub(known.last_datagram_ms),
            )
        };
        self.balancers.iter().map(age_ms).collect()
    }

    fn position(&self, balancer: Ipv4Addr) -> Result<usize, usize> {
        self.balancers
            .binary_search_by_key(&balancer, |known| known.balancer)
    }

    fn next_listed(&mut self, fallback: Ipv4Addr, listed: &[Ipv4Addr]) -> Ipv4Addr {
        if listed.is_empty() {
            return fallback;
        }
        self.last_index = (self.last_index + 1) % listed.len();
        listed[self.last_index]
    }
}

fn is_alive(known: &KnownBalancer, newest: &KnownBalancer) -> bool {
    !known.is_leaving
        && newest
            .last_datagram_ms
            .saturating_sub(known.last_datagram_ms)
            <= BALANCER_SILENCE_MS
}
