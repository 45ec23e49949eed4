//! Openers whose agents have not answered yet: sent on where they are declined or nobody answers.

use std::net::Ipv4Addr;

use crate::decisions::suspicion::Suspicion;
use crate::opaque::forwarder::Forwarder;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};
use crate::opaque::values::directory::Directory;

/// How long an agent may take to say that it has an opener, in milliseconds: several round trips
/// between availability zones, and half of the wait after which callers send a copy.
pub(super) const ANSWER_TIMEOUT_MS: u64 = 100;
/// After how many openers in a row without an answer an agent is suspected: one may be lost or late.
const SUSPECT_AFTER: u32 = 2;
/// How many agents may decline an opener: of four in a row one almost always has no more than the mean.
const MAX_DECLINED: usize = 3;
/// How many openers are watched for their agents' answers at once.
const MAX_WATCHED: usize = 4_096;

/// An opener whose agent has not answered yet.
#[derive(Debug, Clone)]
pub(super) struct SentOpener {
    pub(super) due_ms: u64,
    pub(super) flow: FlowKey,
    pub(super) host: Ipv4Addr,
    pub(super) attempt: usize,
    /// How many agents with more to do than others declined it.
    pub(super) declined: usize,
    /// The agents to which it was offered by what they would let it wait; none where it was not.
    pub(super) offered: Vec<Ipv4Addr>,
    pub(super) sent_ms: u64,
    /// Whether an agent to which it was offered said nothing.
    pub(super) was_missed: bool,
    /// For how long its caller had waited before the first copy, in milliseconds.
    pub(super) waited_ms: u64,
    pub(super) packet: Vec<u8>,
}

impl SentOpener {
    /// Makes the watch of an opener that goes to an agent now.
    pub(super) fn new(
        opener: &Segment,
        host: Ipv4Addr,
        waited_ms: u64,
        packet: Vec<u8>,
        now_ms: u64,
    ) -> Self {
        Self {
            due_ms: now_ms + ANSWER_TIMEOUT_MS,
            flow: opener.flow_from_caller(),
            host,
            attempt: opener.acknowledgement as usize,
            declined: 0,
            offered: Vec::new(),
            sent_ms: now_ms,
            was_missed: false,
            waited_ms,
            packet,
        }
    }
}

impl Forwarder {
    /// Notes that an agent has an opener and looks for another that takes it.
    pub fn record_handed_on(&mut self, flow: &FlowKey, host: Ipv4Addr) {
        self.watched
            .retain(|watched| watched.flow != *flow || watched.host != host);
    }

    /// Offers an opener that an agent with much to do declined to the next one, which may decline it too.
    pub fn handle_decline(
        &mut self,
        directory: &Directory,
        suspicion: &Suspicion,
        flow: &FlowKey,
        host: Ipv4Addr,
        now_ms: u64,
    ) -> Option<Action> {
        let is_it = |watched: &SentOpener| watched.flow == *flow && watched.host == host;
        let index = self.watched.iter().position(is_it)?;
        let mut watched = self.watched.remove(index)?;
        if watched.is_offer() {
            return self.offer_next(directory, suspicion, watched, now_ms).ok();
        }
        watched.attempt += 1;
        watched.declined += 1;
        watched.due_ms = now_ms + ANSWER_TIMEOUT_MS;
        let attempt = watched.attempt;
        watched.host = self
            .opener_host(directory, suspicion, flow, attempt, now_ms)
            .ok()?;
        let mut message = self.message(0);
        if watched.declined < MAX_DECLINED {
            message.load_permille = self.mean_load(directory, flow, now_ms);
        }
        let action = Action::ToPeer(watched.host, message, watched.packet.clone());
        self.watch(watched);
        Some(action)
    }

    /// Tells whether [`Forwarder::tick`] has something to wait for.
    pub fn is_waiting(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Sends openers whose agents did not answer in time to the next candidate.
    pub fn tick(
        &mut self,
        directory: &Directory,
        suspicion: &mut Suspicion,
        now_ms: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        while self
            .watched
            .front()
            .is_some_and(|watched| watched.due_ms <= now_ms)
        {
            let Some(mut watched) = self.watched.pop_front() else {
                break;
            };
            if self.is_answered(&watched) {
                continue;
            }
            self.metrics.openers_unanswered.inc();
            if self.miss(watched.host) >= SUSPECT_AFTER {
                suspicion.suspect(watched.host, now_ms);
                self.metrics.hosts_suspected.inc();
            }
            log::info!(
                "event=opener_unanswered flow={} host={} waited_ms={ANSWER_TIMEOUT_MS} attempt={}",
                watched.flow,
                watched.host,
                watched.attempt
            );
            if watched.is_offer() {
                self.forget_hint(&watched);
                watched.was_missed = true;
                let next = self.offer_next(directory, suspicion, watched, now_ms);
                actions.extend(next.ok());
                continue;
            }
            let attempt = watched.attempt + 1;
            let next = self.opener_host(directory, suspicion, &watched.flow, attempt, now_ms);
            if let Ok(host) = next
                && host != watched.host
            {
                let waited_ms = self.retries.waited_ms(&watched.flow, true, now_ms);
                actions.push(self.deliver(host, watched.packet, waited_ms));
            }
        }
        actions
    }

    /// Counts an opener without an answer; returns how many there were in a row.
    fn miss(&mut self, host: Ipv4Addr) -> u32 {
        let found = self
            .unanswered
            .binary_search_by_key(&host, |(host, _)| *host);
        let index = found.unwrap_or_else(|index| {
            self.unanswered.insert(index, (host, 0));
            index
        });
        self.unanswered[index].1 += 1;
        self.unanswered[index].1
    }

    pub(super) fn watch(&mut self, watched: SentOpener) {
        let is_known = self.hints.get(&watched.flow).is_some() && !watched.is_offer();
        if self.watched.len() < MAX_WATCHED && !is_known {
            self.watched.push_back(watched);
        }
    }
}
