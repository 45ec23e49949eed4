//! The age of a process's published values, and whether the process must read the platform itself.
//!
//! All processes of a region sort themselves into the same relay order. The first two read the
//! platform; each of the others polls a process before it. While the readers are dead, partitioned
//! or refused, values age, and the next processes in the order read as well, until one of them
//! succeeds. There is no election and no consensus: processes that disagree cost a few additional
//! reads. See docs/OPAQUE.md, "How values travel".

use std::net::Ipv4Addr;

use crate::config::hash;
use crate::config::hosts::{Host, HostList};

/// The number of processes that read the platform in normal operation.
pub const READER_COUNT: usize = 2;
/// The number of processes that poll the same parent.
const FAN_OUT: usize = 8;
/// The time for which a read waits for changes, in milliseconds: the age that values reach in
/// normal operation.
pub(crate) const WATCH_WAIT_MS: u64 = 1_500;
/// The interval at which a process polls its parent, in milliseconds.
pub(crate) const BEAT_MS: u64 = 250;
/// The age of values beyond which a process reads itself, in milliseconds: one wait for changes and
/// two beats.
const STALE_AGE_MS: u64 = WATCH_WAIT_MS + 2 * BEAT_MS;
/// The additional age for each further process in the relay order, in milliseconds, so that few
/// read at once.
const STALE_AGE_STEP_MS: u64 = 150;
/// The number of such steps before longer ones: if the platform refuses a third of the hosts, at
/// least one of this many is served in all but one of five thousand cases.
const SHORT_STEPS: u64 = 8;
/// The additional age for each process after the short steps, in milliseconds. While the platform
/// answers no process, each further reader only adds failing calls; long steps make their number
/// depend on the length of the outage and not on the size of the site.
const LONG_STEP_MS: u64 = 600;
/// The value used instead of [`STALE_AGE_MS`] once the parent has reported that it can't read, in
/// milliseconds.
const PARENT_FAILING_AGE_MS: u64 = 300;
/// The age step for processes that know no parent, in milliseconds. All of them are then starting
/// without values, and the first successful read supplies the others.
const NO_PARENT_STEP_MS: u64 = 40;

/// The hash salt of the relay order.
const ORDER_SALT: u64 = 0x6672_6573;

/// The position of a process in the relay order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayPosition {
    /// The rank, from 0; hosts that are not in the host list come after all others.
    pub rank: usize,
    /// The process that it polls, if there is one before it.
    pub parent: Option<Ipv4Addr>,
}

/// The host of a process and its availability zone.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLocation<'a> {
    /// The host of the process.
    pub host: Ipv4Addr,
    /// The availability zone of its host.
    pub zone: &'a str,
}

/// Returns the position of a process among the hosts for which `is_trusted` returns true.
pub fn relay_position(
    hosts: &HostList,
    location: ProcessLocation<'_>,
    is_trusted: impl Fn(Ipv4Addr) -> bool,
) -> RelayPosition {
    let is_eligible = |host: &&Host| host.address == location.host || is_trusted(host.address);
    let mut order: Vec<(u64, &Host)> = hosts
        .all()
        .iter()
        .filter(is_eligible)
        .map(|host| (hash::host_rank(ORDER_SALT, host.address), host))
        .collect();
    order.sort_unstable_by_key(|(host_rank, host)| (*host_rank, host.address));
    let listed = order
        .iter()
        .position(|(_, host)| host.address == location.host);
    // A process that is not in the host list is never a reader by rank. Before anything is
    // published, that is every process.
    let own_hash = hash::host_hash(location.host) as usize;
    let rank = listed.unwrap_or(order.len().max(READER_COUNT) + own_hash % FAN_OUT);
    let parent = match rank {
        0 => None,
        rank if rank < READER_COUNT => order.first(),
        // Spread over the readers, then over the processes that poll them.
        rank if rank < READER_COUNT * (FAN_OUT + 1) => order.get(rank % READER_COUNT),
        _ if listed.is_none() => parent_of_unlisted(&order, location.zone, own_hash),
        rank => order.get((rank - READER_COUNT) / FAN_OUT),
    };
    RelayPosition {
        rank,
        parent: parent.map(|(_, host)| host.address),
    }
}

/// Returns a parent for a process that is not in the host list: a host of its availability zone, or
/// of any zone if its own has none.
///
/// Balancers are not listed and there may be hundreds of them. By rank, all of them would poll one
/// or two agents.
fn parent_of_unlisted<'a, 'b>(
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

/// When the values of a process were last known to be the newest, and whether reads fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    /// The time at which the values were last known to be the newest.
    confirmed_ms: u64,
    is_failing: bool,
    is_parent_failing: bool,
}

impl Freshness {
    /// Returns the time since the values were last known to be the newest, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Records that the values were the newest at a time.
    pub fn confirm(&mut self, at_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(at_ms);
    }

    /// Sets whether reads of the platform by this process fail.
    pub fn set_failing(&mut self, is_failing: bool) {
        self.is_failing = is_failing;
    }

    /// Sets whether the parent reports that its reads of the platform fail.
    pub fn set_parent_failing(&mut self, is_failing: bool) {
        self.is_parent_failing = is_failing;
    }

    /// Returns the age to report to peers, or `None` once values are stale because reads fail.
    pub fn reported_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.age_ms(now_ms);
        (!self.is_failing || age_ms < STALE_AGE_MS).then_some(age_ms)
    }

    /// Returns whether this process should read the platform now.
    pub fn should_read(&self, position: RelayPosition, now_ms: u64) -> bool {
        if position.rank < READER_COUNT {
            return true;
        }
        let steps = (position.rank - READER_COUNT) as u64;
        let age_ms = self.age_ms(now_ms);
        if position.parent.is_none() {
            return age_ms > steps * NO_PARENT_STEP_MS;
        }
        let stale_age_ms = if self.is_parent_failing {
            PARENT_FAILING_AGE_MS
        } else {
            STALE_AGE_MS
        };
        let short_steps = steps.min(SHORT_STEPS);
        age_ms
            > stale_age_ms + short_steps * STALE_AGE_STEP_MS + (steps - short_steps) * LONG_STEP_MS
    }
}
