//! The choice of the agent to which a balancer offers an opener next, or assigns it.
//!
//! Load pattern: nearly all slots of many small servers are busy, each for some tens of
//! milliseconds. With a choice by hash alone, openers queue at some servers while others have free
//! slots. So an agent declines an opener that would wait there for longer than the balancer expects
//! elsewhere, and reports the wait. The balancer then offers the opener to the next agent, and
//! assigns it to the agent with the shortest reported wait once no other one is expected to be
//! better. See docs/design/offers.md.

use std::net::Ipv4Addr;

/// The most agents of the balancer's availability zone that are candidates for an opener: as many
/// as there are offers, so that an agent that reported a free slot is among them.
pub(crate) const MAX_SAME_ZONE: usize = MAX_OFFERS;
/// The most agents of other availability zones that are candidates, if the balancer's own zone has
/// [`MAX_SAME_ZONE`].
pub(crate) const MAX_OTHER_ZONES: usize = 2;
/// The most agents to which an opener is offered before it is assigned: of a few busy agents one
/// usually has a free slot, and each further offer costs the caller a round trip.
const MAX_OFFERS: usize = 5;
/// How much shorter the wait in another availability zone must be, in milliseconds: the round trip
/// time between zones, which delays the opener and each request of its flow.
const CROSS_ZONE_COST_MS: f64 = 15.0;
/// The expected wait at an agent without a report, as a fraction of the mean wait: loads of small
/// servers differ from their mean by about that much.
const UNREPORTED_WAIT_FRACTION: f64 = 0.5;
/// The wait that an agent reports if it takes no new flows now.
pub const TAKES_NONE_WAIT_MS: u16 = u16::MAX;

/// An agent to which an opener may be offered or assigned.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The agent's host.
    pub host: Ipv4Addr,
    /// Whether the agent is in the balancer's availability zone.
    pub is_same_zone: bool,
    /// The wait that the agent reported, in milliseconds, if the report is still valid.
    pub wait_ms: Option<u16>,
    /// The mean wait in the balancer's availability zone, or in the other zones if the agent is in
    /// one of these, in milliseconds.
    pub mean_wait_ms: f64,
    /// Whether the opener was offered to the agent before.
    pub was_offered: bool,
}

/// The next step of an opener.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Offer {
    /// It is offered to the agent on this host, which declines it if the wait would be longer than
    /// this many milliseconds.
    MayDecline(Ipv4Addr, f64),
    /// It is assigned to the agent on this host, which takes it, queues it or refuses it for good.
    Assigned(Ipv4Addr),
}

/// Returns the next step of an opener, given its candidates in the rank order of its flow.
pub fn next_offer(candidates: &[Candidate]) -> Option<Offer> {
    let offers = candidates.iter().filter(|candidate| candidate.was_offered);
    let may_offer = offers.count() < MAX_OFFERS;
    let open = candidates.iter().filter(|candidate| !candidate.was_offered);
    let next = open.min_by(|one, other| one.cost_ms().total_cmp(&other.cost_ms()));
    let reported = candidates
        .iter()
        .filter(|candidate| candidate.wait_ms.is_some());
    let best = reported.min_by(|one, other| one.cost_ms().total_cmp(&other.cost_ms()));
    match (next, best) {
        (Some(next), Some(best)) if may_offer && next.cost_ms() < best.cost_ms() => {
            Some(next.offer())
        }
        (Some(next), None) if may_offer => Some(next.offer()),
        (_, Some(best)) if !best.was_offered && may_offer => Some(best.offer()),
        (_, Some(best)) => Some(Offer::Assigned(best.host)),
        (Some(next), None) => Some(Offer::Assigned(next.host)),
        // The opener was offered to all candidates, and none has a valid report.
        (None, None) => candidates
            .first()
            .map(|candidate| Offer::Assigned(candidate.host)),
    }
}

impl Candidate {
    /// Returns the delay to expect if an opener goes to this agent, in milliseconds.
    fn cost_ms(&self) -> f64 {
        let round_trip_ms = if self.is_same_zone {
            0.0
        } else {
            CROSS_ZONE_COST_MS
        };
        let wait_ms = self
            .wait_ms
            .map_or(UNREPORTED_WAIT_FRACTION * self.mean_wait_ms, f64::from);
        wait_ms + round_trip_ms
    }

    fn offer(&self) -> Offer {
        Offer::MayDecline(self.host, self.mean_wait_ms)
    }
}
