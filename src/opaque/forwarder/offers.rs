//! Openers whose callers have time for one attempt: offered from agent to agent by what each would let them wait.
//!
//! See docs/design/offers.md.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::decisions::offers::{Candidate, Offer, next_offer};
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::forwarder::watched::{TAKEN_TIMEOUT_MS, Watched};
use crate::opaque::forwarder::{Forwarder, is_evacuated_for};
use crate::opaque::openers::candidates;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::Segment;
use crate::opaque::values::directory::Directory;

impl Watched {
    /// Tells whether it is offered by what agents would let it wait.
    pub(super) fn is_offer(&self) -> bool {
        !self.offered.is_empty()
    }
}

impl Forwarder {
    /// Notes for how long a new flow would wait at an agent.
    pub fn heard_wait(&mut self, directory: &Directory, host: Ipv4Addr, wait_ms: u16, now_ms: u64) {
        let is_same_zone = directory.is_in_zone(host, &self.zone);
        self.waits.record(host, is_same_zone, wait_ms, now_ms);
    }

    /// Sends a copy of an opener to the agent that has it, or offers it to one.
    ///
    /// Each copy is watched for an answer, also one to the agent that has the opener: it may have ended with all
    /// that waited there. One that was kept here for `kept_ms` has waited for so much longer than its copy tells. The
    /// caller is told where the whole service is evacuated.
    pub(super) fn offer(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        segment: &Segment,
        packet: Vec<u8>,
        kept_ms: u64,
        now_ms: u64,
    ) -> Result<Action> {
        let flow = segment.flow_from_caller();
        let attempt = segment.acknowledgement as usize;
        let came_ms = now_ms.saturating_sub(kept_ms);
        let waited_ms = self.caller_waited_ms(&flow, attempt, came_ms) + kept_ms;
        self.watched.retain(|watched| watched.flow != flow);
        let mut watched = Watched::new(segment, Ipv4Addr::UNSPECIFIED, waited_ms, packet, now_ms);
        let held = self.hints.get(&flow).map(|hint| hint.host);
        let is_there =
            |host: &Ipv4Addr| directory.is_current(*host) && !suspicion.is_suspected(*host, now_ms);
        let Some(host) = held.filter(is_there) else {
            return match self.offer_next(directory, suspicion, watched, now_ms) {
                Err(_) if is_evacuated_for(directory, segment) => {
                    self.refuse(segment, Code::ServiceEvacuated)
                }
                offer => offer,
            };
        };
        watched.host = host;
        watched.offered.push(host);
        let action = self.deliver(host, watched.packet.clone(), waited_ms);
        self.watch(watched);
        Ok(action)
    }

    /// Offers an opener to the next agent, or assigns it to the best one.
    pub(super) fn offer_next(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        mut watched: Watched,
        now_ms: u64,
    ) -> Result<Action> {
        let flow = watched.flow;
        let none = || Error::new(Code::HostUnknown, flow.called.to_string());
        let candidates = self.candidates(directory, suspicion, &watched, now_ms)?;
        let offer = next_offer(&candidates).ok_or_else(none)?;
        let mut message = self.message(watched.waited_ms);
        let host = match offer {
            // One that says nothing may be of a version that knows no offers.
            Offer::MayDecline(host, _) if watched.was_missed => host,
            Offer::MayDecline(host, most_ms) => {
                message.kind = MessageKind::Offer;
                message.most_wait_ms = most_ms as u16;
                message.load_permille = self.mean_load(directory, &flow, now_ms);
                host
            }
            Offer::Assigned(host) => host,
        };
        self.metrics.openers_offered.inc();
        log::debug!(
            "event=opener_offered flow={flow} host={host} offers={} assigned={}",
            watched.offered.len() + 1,
            message.kind == MessageKind::Deliver
        );
        self.waits.record_sent_flow(host);
        watched.host = host;
        watched.offered.push(host);
        watched.sent_ms = now_ms;
        watched.due_ms = now_ms + TAKEN_TIMEOUT_MS;
        let action = Action::ToPeer(host, message, watched.packet.clone());
        self.watch(watched);
        Ok(action)
    }

    fn candidates(
        &self,
        directory: &Directory,
        suspicion: &Suspicion,
        watched: &Watched,
        now_ms: u64,
    ) -> Result<Vec<Candidate>> {
        let flow = &watched.flow;
        let hosts = candidates::asked(directory, suspicion, &self.zone, flow, now_ms)?;
        let candidate = |(host, is_same_zone)| Candidate {
            host,
            is_same_zone,
            wait_ms: self.waits.wait_ms(host, now_ms),
            mean_wait_ms: self.waits.mean_wait_ms(is_same_zone, now_ms),
            was_offered: watched.offered.contains(&host),
        };
        Ok(hosts.into_iter().map(candidate).collect())
    }

    /// Tells whether an opener's agent has answered since it was sent there.
    pub(super) fn is_answered(&self, watched: &Watched) -> bool {
        let hint = self.hints.get(&watched.flow);
        hint.is_some_and(|hint| !watched.is_offer() || hint.seen_ms >= watched.sent_ms)
    }

    /// Forgets that an agent has an opener about which it no longer answers.
    pub(super) fn forget_hint(&mut self, watched: &Watched) {
        if self
            .hints
            .get(&watched.flow)
            .is_some_and(|hint| hint.host == watched.host)
        {
            self.hints.remove(&watched.flow);
        }
    }
}
