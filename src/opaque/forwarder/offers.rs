//! Offers of openers on routes with a deadline, whose callers have time for one attempt.
//!
//! An opener is offered to one agent after another, which are chosen by their expected waits.
//!
//! See docs/design/offers.md.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::decisions::offers::{Candidate, Offer, next_offer};
use crate::decisions::suspicion::Suspicion;
use crate::error::{Error, Result};
use crate::opaque::forwarder::sent_openers::{OPENER_ANSWER_TIMEOUT_MS, SentOpener};
use crate::opaque::forwarder::{Forwarder, is_evacuated_for};
use crate::opaque::openers::candidates;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::Segment;
use crate::opaque::values::directory::Directory;

impl SentOpener {
    /// Returns whether the opener is offered by the expected waits of agents.
    pub(super) fn is_offer(&self) -> bool {
        !self.offered_hosts.is_empty()
    }
}

impl Forwarder {
    /// Records how long a new flow would wait at an agent.
    pub fn record_wait(
        &mut self,
        directory: &Directory,
        host: Ipv4Addr,
        wait_ms: u16,
        now_ms: u64,
    ) {
        let is_same_zone = directory.is_in_zone(host, &self.zone);
        self.waits.record(host, is_same_zone, wait_ms, now_ms);
    }

    /// Sends a copy of an opener to the agent that has it, or offers it to an agent.
    ///
    /// The answer to each copy is awaited, even if an agent has the opener: the agent's process may
    /// have ended, and its waiting openers are then lost. The time `kept_ms` for which this balancer
    /// kept the opener is added to the caller's wait. If the whole service is evacuated, the flow is
    /// reset.
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
        let arrived_ms = now_ms.saturating_sub(kept_ms);
        let waited_ms = self.caller_wait_ms(&flow, attempt, arrived_ms) + kept_ms;
        self.sent_openers.retain(|sent| sent.flow != flow);
        let mut sent = SentOpener::new(segment, Ipv4Addr::UNSPECIFIED, waited_ms, packet, now_ms);
        let held = self.hints.get(&flow).map(|hint| hint.host);
        let may_hold_opener = |host: &Ipv4Addr| {
            directory.may_hold_flows(*host) && !suspicion.is_suspected(*host, now_ms)
        };
        let Some(host) = held.filter(may_hold_opener) else {
            return match self.offer_next(directory, suspicion, sent, now_ms) {
                Err(_) if is_evacuated_for(directory, segment) => {
                    self.reset_flow(segment, Code::ServiceEvacuated)
                }
                offer => offer,
            };
        };
        sent.host = host;
        sent.offered_hosts.push(host);
        let action = self.delivery(host, sent.packet.clone(), waited_ms);
        self.track(sent);
        Ok(action)
    }

    /// Offers an opener to the next agent, or assigns it to the best one, which can't decline it.
    pub(super) fn offer_next(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        mut sent: SentOpener,
        now_ms: u64,
    ) -> Result<Action> {
        let flow = sent.flow;
        let none = || Error::new(Code::HostUnknown, flow.called.to_string());
        let candidates = self.candidates(directory, suspicion, &sent, now_ms)?;
        let offer = next_offer(&candidates).ok_or_else(none)?;
        let mut message = self.delivery_message(sent.waited_ms);
        let host = match offer {
            // An agent that does not answer may run a version without offers.
            Offer::MayDecline(host, _) if sent.was_unanswered => host,
            Offer::MayDecline(host, max_wait_ms) => {
                message.kind = MessageKind::Offer;
                message.max_wait_ms = max_wait_ms as u16;
                message.load_permille = self.mean_load(directory, &flow, now_ms);
                host
            }
            Offer::Assigned(host) => host,
        };
        self.metrics.openers_offered.inc();
        log::debug!(
            "event=opener_offered flow={flow} host={host} offers={} assigned={}",
            sent.offered_hosts.len() + 1,
            message.kind == MessageKind::Deliver
        );
        self.waits.record_sent_flow(host);
        sent.host = host;
        sent.offered_hosts.push(host);
        sent.sent_ms = now_ms;
        sent.due_ms = now_ms + OPENER_ANSWER_TIMEOUT_MS;
        let action = Action::ToPeer(host, message, sent.packet.clone());
        self.track(sent);
        Ok(action)
    }

    fn candidates(
        &self,
        directory: &Directory,
        suspicion: &Suspicion,
        sent: &SentOpener,
        now_ms: u64,
    ) -> Result<Vec<Candidate>> {
        let flow = &sent.flow;
        let hosts = candidates::for_offers(directory, suspicion, &self.zone, flow, now_ms)?;
        let candidate = |(host, is_same_zone)| Candidate {
            host,
            is_same_zone,
            wait_ms: self.waits.wait_ms(host, now_ms),
            mean_wait_ms: self.waits.mean_wait_ms(is_same_zone, now_ms),
            was_offered: sent.offered_hosts.contains(&host),
        };
        Ok(hosts.into_iter().map(candidate).collect())
    }

    /// Returns whether the agent of an opener has answered since the opener was sent there.
    pub(super) fn is_answered(&self, sent: &SentOpener) -> bool {
        let hint = self.hints.get(&sent.flow);
        hint.is_some_and(|hint| !sent.is_offer() || hint.last_seen_ms >= sent.sent_ms)
    }

    /// Removes the hint to an agent that no longer answers about an opener.
    pub(super) fn remove_hint(&mut self, sent: &SentOpener) {
        if self
            .hints
            .get(&sent.flow)
            .is_some_and(|hint| hint.host == sent.host)
        {
            self.hints.remove(&sent.flow);
        }
    }
}
