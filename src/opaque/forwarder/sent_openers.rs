//! Openers whose agents have not answered yet. They are sent to the next agent if they are declined
//! or not answered in time.

use std::net::Ipv4Addr;

use crate::decisions::suspicion::Suspicion;
use crate::opaque::forwarder::Forwarder;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};
use crate::opaque::values::directory::Directory;

/// The time within which an agent must answer an opener, in milliseconds: several round trips between
/// availability zones, and half of the interval after which callers send a copy.
pub(super) const OPENER_ANSWER_TIMEOUT_MS: u64 = 100;
/// The number of consecutive unanswered openers after which an agent is suspected. A single one may be
/// lost or late.
const SUSPECT_AFTER_UNANSWERED: u32 = 2;
/// The most agents that may decline an opener. Of four agents, at least one almost always has no more
/// load than the mean.
const MAX_DECLINES: usize = 3;
/// The most openers whose answers are awaited at once. Further ones are not sent to another agent if
/// they stay unanswered.
const MAX_SENT_OPENERS: usize = 4_096;

/// An opener that was sent to an agent that has not answered yet.
#[derive(Debug, Clone)]
pub(super) struct SentOpener {
    /// When the answer is overdue.
    pub(super) due_ms: u64,
    pub(super) flow: FlowKey,
    pub(super) host: Ipv4Addr,
    pub(super) attempt: usize,
    /// The number of agents that declined it because their load is above the mean.
    pub(super) declines: usize,
    /// The agents to which it was offered by their expected waits; empty if it was not offered.
    pub(super) offered_hosts: Vec<Ipv4Addr>,
    pub(super) sent_ms: u64,
    /// Whether an agent to which it was offered did not answer.
    pub(super) was_unanswered: bool,
    /// How long its caller had waited before the first copy, in milliseconds.
    pub(super) waited_ms: u64,
    pub(super) packet: Vec<u8>,
}

impl SentOpener {
    /// Creates the record of an opener that is sent to an agent now.
    pub(super) fn new(
        segment: &Segment,
        host: Ipv4Addr,
        waited_ms: u64,
        packet: Vec<u8>,
        now_ms: u64,
    ) -> Self {
        Self {
            due_ms: now_ms + OPENER_ANSWER_TIMEOUT_MS,
            flow: segment.flow_from_caller(),
            host,
            attempt: segment.acknowledgement as usize,
            declines: 0,
            offered_hosts: Vec::new(),
            sent_ms: now_ms,
            was_unanswered: false,
            waited_ms,
            packet,
        }
    }
}

impl Forwarder {
    /// Records that the agent on `host` has handed an opener on to another agent.
    ///
    /// The answer from `host` is no longer awaited.
    pub fn record_handed_on(&mut self, flow: &FlowKey, host: Ipv4Addr) {
        self.sent_openers
            .retain(|sent| sent.flow != *flow || sent.host != host);
    }

    /// Sends an opener that an agent declined to the next agent, which may decline it too.
    pub fn handle_decline(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        flow: &FlowKey,
        host: Ipv4Addr,
        now_ms: u64,
    ) -> Option<Action> {
        let is_declined = |sent: &SentOpener| sent.flow == *flow && sent.host == host;
        let index = self.sent_openers.iter().position(is_declined)?;
        let mut sent = self.sent_openers.remove(index)?;
        if sent.is_offer() {
            return self.offer_next(directory, suspicion, sent, now_ms).ok();
        }
        sent.attempt += 1;
        sent.declines += 1;
        sent.due_ms = now_ms + OPENER_ANSWER_TIMEOUT_MS;
        let attempt = sent.attempt;
        sent.host = self
            .opener_host(directory, suspicion, flow, attempt, now_ms)
            .ok()?;
        let mut message = self.delivery_message(0);
        if sent.declines < MAX_DECLINES {
            message.load_permille = self.mean_load(directory, flow, now_ms);
        }
        let action = Action::ToPeer(sent.host, message, sent.packet.clone());
        self.track(sent);
        Some(action)
    }

    /// Returns whether an opener awaits an answer, so that [`Forwarder::tick`] must be called.
    pub fn is_waiting(&self) -> bool {
        !self.sent_openers.is_empty()
    }

    /// Sends the openers that were not answered in time to their next candidates.
    pub fn tick(
        &mut self,
        directory: &Directory,
        suspicion: &mut Suspicion,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        while self
            .sent_openers
            .front()
            .is_some_and(|sent| sent.due_ms <= now_ms)
        {
            let Some(mut sent) = self.sent_openers.pop_front() else {
                break;
            };
            if self.is_answered(&sent) {
                continue;
            }
            self.metrics.openers_unanswered.inc();
            if self.count_unanswered(sent.host) >= SUSPECT_AFTER_UNANSWERED {
                suspicion.suspect(sent.host, now_ms);
                self.metrics.hosts_suspected.inc();
            }
            log::info!(
                "event=opener_unanswered flow={} host={} waited_ms={OPENER_ANSWER_TIMEOUT_MS} attempt={}",
                sent.flow,
                sent.host,
                sent.attempt
            );
            if sent.is_offer() {
                self.remove_hint(&sent);
                sent.was_unanswered = true;
                let next = self.offer_next(directory, suspicion, sent, now_ms);
                actions.extend(next.ok());
                continue;
            }
            let attempt = sent.attempt + 1;
            let next = self.opener_host(directory, suspicion, &sent.flow, attempt, now_ms);
            if let Ok(host) = next
                && host != sent.host
            {
                let waited_ms = self.retries.waited_ms(&sent.flow, true, now_ms);
                actions.push(self.delivery(host, sent.packet, waited_ms));
            }
        }
        actions
    }

    /// Counts an unanswered opener, and returns the number of consecutive ones at this host.
    fn count_unanswered(&mut self, host: Ipv4Addr) -> u32 {
        let found = self
            .unanswered_in_a_row
            .binary_search_by_key(&host, |(host, _)| *host);
        let index = found.unwrap_or_else(|index| {
            self.unanswered_in_a_row.insert(index, (host, 0));
            index
        });
        self.unanswered_in_a_row[index].1 += 1;
        self.unanswered_in_a_row[index].1
    }

    /// Awaits the answer to an opener, unless its holder is already known or the queue is full.
    pub(super) fn track(&mut self, sent: SentOpener) {
        let is_known = self.hints.get(&sent.flow).is_some() && !sent.is_offer();
        if self.sent_openers.len() < MAX_SENT_OPENERS && !is_known {
            self.sent_openers.push_back(sent);
        }
    }
}
