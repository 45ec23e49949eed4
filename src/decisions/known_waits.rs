//! For how long a new flow would wait at the agents that a balancer heard of a moment ago.

use std::net::Ipv4Addr;

/// The age at which such a word no longer counts, in milliseconds: about the service time of the users' requests,
/// after which a slot is free that was not, or the other way round.
const FRESH_MS: u64 = 30;

#[derive(Debug, Clone, Copy)]
struct KnownWait {
    host: Ipv4Addr,
    wait_ms: u16,
    heard_ms: u64,
    /// Whether a flow went there since.
    used: bool,
}

/// The newest word of each agent, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct KnownWaits {
    waits: Vec<KnownWait>,
}

impl KnownWaits {
    /// Notes what an agent said.
    pub(crate) fn heard(&mut self, host: Ipv4Addr, wait_ms: u16, now_ms: u64) {
        let known = KnownWait {
            host,
            wait_ms,
            heard_ms: now_ms,
            used: false,
        };
        match self.position(host) {
            Ok(index) => self.waits[index] = known,
            Err(index) => self.waits.insert(index, known),
        }
    }

    /// Notes that a flow went to an agent, which its last word can't show.
    ///
    /// Without this a balancer would send all openers of a moment to the one agent that said that it has room.
    pub(crate) fn sent(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.waits[index].used = true;
        }
    }

    /// Returns the wait at an agent, in milliseconds, where that is known now.
    pub(crate) fn get(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        let known = self.waits[self.position(host).ok()?];
        let is_fresh = now_ms < known.heard_ms + FRESH_MS;
        let had_room = known.wait_ms == 0;
        (is_fresh && !(had_room && known.used)).then_some(known.wait_ms)
    }

    /// Forgets words that no longer count.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.waits
            .retain(|known| now_ms < known.heard_ms + FRESH_MS);
    }

    fn position(&self, host: Ipv4Addr) -> Result<usize, usize> {
        self.waits.binary_search_by_key(&host, |known| known.host)
    }
}
