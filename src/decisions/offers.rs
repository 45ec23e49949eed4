//! To which agent a balancer offers an opener next, and when it asks no further.
//!
//! Load pattern: nearly all slots of many small servers are busy, each for some tens of milliseconds. Chosen by
//! hash alone, openers queue at some servers while slots are free at others. So an agent without a free slot
//! declines and says how long an opener would wait; the balancer offers it to the next, and assigns it to the
//! best that it heard of once it has asked a few. See docs/design/offers.md.

use std::net::Ipv4Addr;

/// How many agents of the balancer's availability zone an opener may be offered to: of five busy for 85 % of the
/// time, one has a slot free in more than half of all cases, and the least wait of five is short.
pub(crate) const MAX_NEAR: usize = 5;
/// How many agents of other availability zones it may be offered to.
pub(crate) const MAX_FAR: usize = 2;
/// How much longer the wait nearby must be for an opener to cross to another availability zone, in milliseconds:
/// the way there and back, which the opener and each request of its flow make.
const FAR_MS: u32 = 15;
/// The wait that an agent tells which takes no new flow now.
pub(crate) const TAKES_NONE_MS: u16 = u16::MAX;

/// An agent to which an opener may go.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) host: Ipv4Addr,
    /// Whether it stands in the balancer's availability zone.
    pub(crate) is_near: bool,
    /// For how long the opener would wait there, in milliseconds, where that is known.
    pub(crate) wait_ms: Option<u16>,
    /// Whether the opener was offered to it already.
    pub(crate) was_offered: bool,
}

/// Where an opener goes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Offer {
    /// To this agent, which may decline it.
    MayDecline(Ipv4Addr),
    /// To this agent, which takes it, lets it wait or refuses it for good.
    Assigned(Ipv4Addr),
}

/// Chooses among the candidates, which stand in the order of the flow.
///
/// An agent that just said that it has room goes first, then those nearby that said nothing yet. Agents of other
/// zones are asked only where each one nearby has a wait that is worth the way.
pub(crate) fn choose(candidates: &[Candidate]) -> Option<Offer> {
    let open = |candidate: &&Candidate| !candidate.was_offered;
    let has_room = |candidate: &&Candidate| candidate.wait_ms == Some(0);
    let is_unknown = |candidate: &&Candidate| candidate.wait_ms.is_none();
    let near = candidates.iter().filter(|candidate| candidate.is_near);
    let far = candidates.iter().filter(|candidate| !candidate.is_near);
    let least_near_ms = near.clone().filter_map(Candidate::cost_ms).min();
    let is_worth_crossing = least_near_ms.is_none_or(|least_ms| least_ms > FAR_MS);
    let mut asked_near = near.clone().filter(open);
    let next = asked_near.clone().find(has_room);
    let next = next.or_else(|| asked_near.find(is_unknown));
    let next = next.or_else(|| {
        let mut asked_far = far.filter(open).filter(|_| is_worth_crossing);
        asked_far
            .clone()
            .find(has_room)
            .or_else(|| asked_far.find(is_unknown))
    });
    if let Some(next) = next {
        return Some(Offer::MayDecline(next.host));
    }
    let known = candidates
        .iter()
        .filter(|candidate| candidate.wait_ms.is_some());
    let best = known.min_by_key(|candidate| candidate.cost_ms());
    // None is known where none of those offered answered: the last one may still have it.
    let best = best.or_else(|| candidates.iter().find(open));
    best.map(|candidate| Offer::Assigned(candidate.host))
}

impl Candidate {
    /// Returns what an opener loses by going there, in milliseconds, where that is known.
    fn cost_ms(&self) -> Option<u32> {
        let way_ms = if self.is_near { 0 } else { FAR_MS };
        self.wait_ms.map(|wait_ms| u32::from(wait_ms) + way_ms)
    }
}
