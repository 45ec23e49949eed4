//! Through which balancer an agent answers.

use std::net::Ipv4Addr;

/// How long a balancer may be silent, while others are heard, before it is passed over, in
/// milliseconds.
pub(crate) const BALANCER_SILENCE_MS: u64 = 300;
/// How long every balancer may be silent before answers try each of them in turn, in milliseconds.
pub(crate) const ALL_SILENT_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
struct Heard {
    balancer: Ipv4Addr,
    last_ms: u64,
    leaving: bool,
}

/// What an agent knows of balancers from the datagrams they hand to it.
#[derive(Debug, Default)]
pub struct ReturnPath {
    heard: Vec<Heard>,
    turn: usize,
}

impl ReturnPath {
    /// Notes that a balancer handed over a datagram.
    pub fn record_datagram(&mut self, balancer: Ipv4Addr, now_ms: u64) {
        let entry = Heard {
            balancer,
            last_ms: now_ms,
            leaving: false,
        };
        match self.position(balancer) {
            Ok(index) => self.heard[index] = entry,
            Err(index) => self.heard.insert(index, entry),
        }
    }

    /// Notes that a balancer said that it stops.
    pub fn set_leaving(&mut self, balancer: Ipv4Addr) {
        if let Ok(index) = self.position(balancer) {
            self.heard[index].leaving = true;
        }
    }

    /// Chooses the balancer for an answer of a flow that was last handed over by `last`.
    ///
    /// A live `last` is kept, since its path is known to work both ways. When it is silent while
    /// others are heard, the one heard most recently takes over. When all are silent, the ones of
    /// the host list, `listed`, are tried in turn: any of them that lives can reach the caller.
    pub fn choose(&mut self, last: Ipv4Addr, now_ms: u64, listed: &[Ipv4Addr]) -> Ipv4Addr {
        let usable = self.heard.iter().filter(|heard| !heard.leaving);
        let Some(newest) = usable.max_by_key(|heard| heard.last_ms).copied() else {
            return self.next_listed(last, listed);
        };
        if now_ms.saturating_sub(newest.last_ms) > ALL_SILENT_MS {
            return self.next_listed(newest.balancer, listed);
        }
        match self.position(last) {
            Ok(index) if is_alive(&self.heard[index], &newest) => last,
            _ => newest.balancer,
        }
    }

    /// Forgets balancers that were not heard for `age_ms`.
    pub fn prune(&mut self, now_ms: u64, age_ms: u64) {
        self.heard
            .retain(|heard| now_ms.saturating_sub(heard.last_ms) < age_ms);
    }

    /// Returns the balancers heard, with the age of the last datagram in milliseconds.
    pub fn ages_ms(&self, now_ms: u64) -> Vec<(Ipv4Addr, u64)> {
        let age_ms = |heard: &Heard| (heard.balancer, now_ms.saturating_sub(heard.last_ms));
        self.heard.iter().map(age_ms).collect()
    }

    fn position(&self, balancer: Ipv4Addr) -> Result<usize, usize> {
        self.heard
            .binary_search_by_key(&balancer, |heard| heard.balancer)
    }

    fn next_listed(&mut self, fallback: Ipv4Addr, listed: &[Ipv4Addr]) -> Ipv4Addr {
        if listed.is_empty() {
            return fallback;
        }
        self.turn = (self.turn + 1) % listed.len();
        listed[self.turn]
    }
}

fn is_alive(heard: &Heard, newest: &Heard) -> bool {
    !heard.leaving && newest.last_ms.saturating_sub(heard.last_ms) <= BALANCER_SILENCE_MS
}
