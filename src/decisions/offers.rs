//! To which agent a balancer offers an opener next, and when it asks no further.
//!
//! Load pattern: nearly all slots of many small servers are busy, each for some tens of milliseconds. Chosen by
//! hash alone, openers queue at some servers while slots are free at others. So an agent declines an opener that
//! would wait there for longer than the balancer expects elsewhere, and says for how long; the balancer offers it to
//! the next, and assigns it to the best that it heard of once the others promise nothing better. See
//! docs/design/offers.md.

use std::net::Ipv4Addr;

/// How many agents of the balancer's availability zone may be offered an opener: as many as are asked at most, so that
/// one that told of room is among them.
pub(crate) const MAX_SAME_ZONE: usize = MAX_OFFERS;
/// How many agents of other availability zones it may be offered to.
pub(crate) const MAX_OTHER_ZONES: usize = 2;
/// How many agents an opener is offered to before it is assigned: of a few busy ones one mostly has a slot free, and
/// each further one costs the caller a round trip.
const MAX_OFFERS: usize = 5;
/// How much shorter the wait in another availability zone must be, in milliseconds: the way there and back, which the
/// opener and each request of its flow make.
const FAR_MS: f64 = 15.0;
/// How much of the usual wait an agent that said nothing is hoped to have: loads of small servers differ by about
/// that much from their mean.
const HOPED: f64 = 0.5;
/// The wait that an agent tells which takes no new flow now.
pub const TAKES_NONE_WAIT_MS: u16 = u16::MAX;

/// An agent to which an opener may go.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its host.
    pub host: Ipv4Addr,
    /// Whether it stands in the balancer's availability zone.
    pub is_same_zone: bool,
    /// For how long the opener would wait there, in milliseconds, where that is known.
    pub wait_ms: Option<u16>,
    /// The usual wait in its part of the site, in milliseconds.
    pub mean_wait_ms: f64,
    /// Whether the opener was offered to it already.
    pub was_offered: bool,
}

/// Where an opener goes next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Offer {
    /// To this agent, which declines it if it would wait for longer than so many milliseconds.
    MayDecline(Ipv4Addr, f64),
    /// To this agent, which takes it, lets it wait or refuses it for good.
    Assigned(Ipv4Addr),
}

/// Chooses among the candidates, which stand in the order of the flow.
pub fn next_offer(candidates: &[Candidate]) -> Option<Offer> {
    let offers = candidates.iter().filter(|candidate| candidate.was_offered);
    let may_ask = offers.count() < MAX_OFFERS;
    let open = candidates.iter().filter(|candidate| !candidate.was_offered);
    let next = open.min_by(|one, other| one.hoped_ms().total_cmp(&other.hoped_ms()));
    let known = candidates
        .iter()
        .filter(|candidate| candidate.wait_ms.is_some());
    let best = known.min_by(|one, other| one.hoped_ms().total_cmp(&other.hoped_ms()));
    match (next, best) {
        (Some(next), Some(best)) if may_ask && next.hoped_ms() < best.hoped_ms() => {
            Some(next.offered())
        }
        (Some(next), None) if may_ask => Some(next.offered()),
        (_, Some(best)) if !best.was_offered && may_ask => Some(best.offered()),
        (_, Some(best)) => Some(Offer::Assigned(best.host)),
        (Some(next), None) => Some(Offer::Assigned(next.host)),
        // All were asked and none has said anything of late.
        (None, None) => candidates
            .first()
            .map(|candidate| Offer::Assigned(candidate.host)),
    }
}

impl Candidate {
    /// Returns what an opener is hoped to lose by going there, in milliseconds.
    fn hoped_ms(&self) -> f64 {
        let way_ms = if self.is_same_zone { 0.0 } else { FAR_MS };
        let wait_ms = self.wait_ms.map_or(HOPED * self.mean_wait_ms, f64::from);
        wait_ms + way_ms
    }

    fn offered(&self) -> Offer {
        Offer::MayDecline(self.host, self.mean_wait_ms)
    }
}
