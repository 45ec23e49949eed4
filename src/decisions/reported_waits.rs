//! For how long a new flow would wait at the agents that a balancer heard of a moment ago.

use std::net::Ipv4Addr;

use crate::decisions::offers::TAKES_NONE_WAIT_MS;

/// The age at which such a word no longer counts, in milliseconds: about the service time of the users' requests,
/// after which a slot is free that was not, or the other way round.
const FRESH_MS: u64 = 30;
/// The weight of the newest word in the level.
const WEIGHT_OF_NEW: f64 = 0.1;
/// The time in which the level halves without a word, in milliseconds: a rush may be over, and agents that are not
/// asked don't say so.
const LEVEL_HALF_LIFE_MS: f64 = 200.0;

#[derive(Debug, Clone, Copy)]
struct KnownWait {
    host: Ipv4Addr,
    wait_ms: u16,
    heard_ms: u64,
    /// Whether a flow went there since, which voids a word of room.
    used: bool,
}

/// The mean of the waits that were told lately.
#[derive(Debug, Default, Clone, Copy)]
struct Level {
    wait_ms: f64,
    heard_ms: u64,
}

/// The newest word of each agent, sorted by host, and the level of those nearby and of the others.
#[derive(Debug, Default)]
pub struct ReportedWaits {
    waits: Vec<KnownWait>,
    near: Level,
    far: Level,
}

impl Level {
    fn heard(&mut self, wait_ms: u16, now_ms: u64) {
        let before_ms = self.at(now_ms);
        self.wait_ms = before_ms + (f64::from(wait_ms) - before_ms) * WEIGHT_OF_NEW;
        self.heard_ms = now_ms;
    }

    fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.heard_ms) as f64;
        self.wait_ms * (-passed_ms / LEVEL_HALF_LIFE_MS).exp2()
    }
}

impl ReportedWaits {
    /// Notes what an agent said.
    pub fn record(&mut self, host: Ipv4Addr, is_same_zone: bool, wait_ms: u16, now_ms: u64) {
        if wait_ms != TAKES_NONE_WAIT_MS {
            self.level_mut(is_same_zone).heard(wait_ms, now_ms);
        }
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
    pub fn record_sent_flow(&mut self, host: Ipv4Addr) {
        if let Ok(index) = self.position(host) {
            self.waits[index].used = true;
        }
    }

    /// Returns the wait at an agent, in milliseconds, where that is known now.
    pub fn wait_ms(&self, host: Ipv4Addr, now_ms: u64) -> Option<u16> {
        let known = self.waits[self.position(host).ok()?];
        let is_fresh = now_ms < known.heard_ms + FRESH_MS;
        let had_room = known.wait_ms == 0;
        (is_fresh && !(had_room && known.used)).then_some(known.wait_ms)
    }

    /// Returns the wait to expect at an agent that said nothing lately, in milliseconds.
    pub fn mean_wait_ms(&self, is_same_zone: bool, now_ms: u64) -> f64 {
        let level = if is_same_zone { &self.near } else { &self.far };
        level.at(now_ms)
    }

    fn level_mut(&mut self, is_same_zone: bool) -> &mut Level {
        if is_same_zone {
            &mut self.near
        } else {
            &mut self.far
        }
    }

    /// Forgets words that no longer count.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.waits
            .retain(|known| now_ms < known.heard_ms + FRESH_MS);
    }

    fn position(&self, host: Ipv4Addr) -> Result<usize, usize> {
        self.waits.binary_search_by_key(&host, |known| known.host)
    }
}
