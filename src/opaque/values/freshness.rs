//! How old the published values of a process may be, and whether it must read them itself.
//!
//! Two processes of a region read the platform; each of the others asks one before it in a common
//! order. When the two are dead, cut off or turned away, ages grow, and the next in the order read
//! too, until one of them succeeds. Nobody is elected and nothing is agreed on: two that disagree
//! cost a few reads. See docs/OPAQUE.md, "How values travel".

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::hosts::{Host, HostList};

/// How many processes read the platform while all is well.
pub const READER_COUNT: usize = 2;
/// How many processes ask the same one.
const FAN_OUT: usize = 8;
/// How long a read waits for changes, in milliseconds: the age that values reach while all is well.
pub(crate) const WATCH_WAIT_MS: u64 = 1_500;
/// How often a process asks the one before it, in milliseconds.
pub(crate) const BEAT_MS: u64 = 250;
/// The age beyond which a process reads itself, in milliseconds: a wait and two beats.
const PATIENCE_MS: u64 = WATCH_WAIT_MS + 2 * BEAT_MS;
/// How much more patience each next process has, in milliseconds, so that few read at once.
const PATIENCE_STEP_MS: u64 = 150;
/// After how many such steps the next ones are longer: where a third of the hosts are turned away, one
/// of this many is served but for one time in five thousand.
const QUICK_STEPS: u64 = 8;
/// How much more patience each process after those has, in milliseconds. While the platform answers
/// nobody, each further reader only adds refused calls, so that their number follows the length of the
/// outage and not the size of the site.
const LATE_STEP_MS: u64 = 600;
/// How much of it a process has once the one before it said that it can't read.
const TURNED_AWAY_MS: u64 = 300;
/// How much patience each next process has while no other process is known to ask, in milliseconds:
/// all of them start with nothing then, and the first reads serve all.
const ALONE_STEP_MS: u64 = 40;

const ORDER_SALT: u64 = 0x6672_6573;

/// Where a process stands in the order of those that read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayPosition {
    /// Its place; hosts that the list does not name come after all others.
    pub rank: usize,
    /// The process that it asks, if there is one before it.
    pub parent: Option<Ipv4Addr>,
}

/// A process as it looks for its place among the others.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLocation<'a> {
    /// Its host.
    pub host: Ipv4Addr,
    /// The availability zone of its host.
    pub zone: &'a str,
}

/// Returns where a process stands among the hosts that `trusted` lets pass.
pub fn relay_position(
    hosts: &HostList,
    asker: ProcessLocation<'_>,
    trusted: impl Fn(Ipv4Addr) -> bool,
) -> RelayPosition {
    let passing = |host: &&Host| host.address == asker.host || trusted(host.address);
    let mut order: Vec<(u64, &Host)> = hosts
        .all()
        .iter()
        .filter(passing)
        .map(|host| (hash::host_rank(ORDER_SALT, host.address), host))
        .collect();
    order.sort_unstable_by_key(|(place, host)| (*place, host.address));
    let listed = order
        .iter()
        .position(|(_, host)| host.address == asker.host);
    // A process that is not listed, as all while nothing is published yet, is no reader by its place.
    let own_hash = hash::host_hash(asker.host) as usize;
    let rank = listed.unwrap_or(order.len().max(READER_COUNT) + own_hash % FAN_OUT);
    let parent = match rank {
        0 => None,
        rank if rank < READER_COUNT => order.first(),
        // Spread over the readers, then over those that ask them.
        rank if rank < READER_COUNT * (FAN_OUT + 1) => order.get(rank % READER_COUNT),
        _ if listed.is_none() => near(&order, asker.zone, own_hash),
        rank => order.get((rank - READER_COUNT) / FAN_OUT),
    };
    RelayPosition {
        rank,
        parent: parent.map(|(_, host)| host.address),
    }
}

/// Returns one of the hosts of an availability zone, or of all where it has none, for a process that is not listed.
///
/// Balancers are not listed and may be hundreds: by their rank they would all ask one or two agents.
fn near<'a, 'b>(
    order: &'a [(u64, &'b Host)],
    zone: &str,
    own_hash: usize,
) -> Option<&'a (u64, &'b Host)> {
    let in_zone = || order.iter().filter(|(_, host)| host.zone == zone);
    match in_zone().count() {
        0 => order.get(own_hash % order.len().max(1)),
        count => in_zone().nth(own_hash % count),
    }
}

/// How sure a process is that its values are the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    confirmed_ms: u64,
    failing: bool,
    parent_failing: bool,
}

impl Freshness {
    /// Returns since when changes may have been missed, as an age in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Notes that the values were the newest at a time.
    pub fn confirm(&mut self, at_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(at_ms);
    }

    /// Notes whether the platform answered this process.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Notes whether the process that this one asks has lost touch with the platform.
    pub fn set_parent_failing(&mut self, failing: bool) {
        self.parent_failing = failing;
    }

    /// Returns the age to tell others, or `None` while this process can't read.
    pub fn reported_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.age_ms(now_ms);
        (!self.failing || age_ms < PATIENCE_MS).then_some(age_ms)
    }

    /// Tells whether this process should read the platform now.
    pub fn should_read(&self, relay_position: RelayPosition, now_ms: u64) -> bool {
        if relay_position.rank < READER_COUNT {
            return true;
        }
        let steps = (relay_position.rank - READER_COUNT) as u64;
        let age_ms = self.age_ms(now_ms);
        if relay_position.parent.is_none() {
            return age_ms > steps * ALONE_STEP_MS;
        }
        let patience_ms = if self.parent_failing {
            TURNED_AWAY_MS
        } else {
            PATIENCE_MS
        };
        let quick_steps = steps.min(QUICK_STEPS);
        age_ms > patience_ms + quick_steps * PATIENCE_STEP_MS + (steps - quick_steps) * LATE_STEP_MS
    }
}
