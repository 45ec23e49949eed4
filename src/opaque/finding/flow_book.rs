//! What an agent knows of the flows of its backend server, and how much work they are.

use std::net::Ipv4Addr;

use crate::opaque::finding::flow_map::FlowMap;
use crate::opaque::finding::remains::{EndedFlow, Remains};
use crate::opaque::packets::segment::{FlowKey, Segment};
use crate::process::opaque_metrics::OpaqueMetrics;

/// How many flows an agent remembers: eight times the connections of the largest backend servers.
const MAX_FLOWS: usize = 16_384;
/// How long a flow is remembered after its backend server has ended it, in milliseconds: for its last
/// acknowledgements.
const CLOSED_MS: u64 = 2_000;
/// How long a request may stay without an answer before it counts as failed, in milliseconds: a full
/// queue of the users' slowest requests at a cold backend server takes half of it.
const OVERDUE_MS: u64 = 1_000;
/// How long a request without an answer counts as work, in milliseconds: callers of the users' short
/// requests give up after 2.5 to 3 seconds. One of a backend server that swallowed it would otherwise
/// hold its place for as long as a flow lives.
pub(crate) const ABANDONED_MS: u64 = 3_000;
/// How long a taken opener counts as a request before its caller has sent one, in milliseconds.
pub(crate) const EXPECTED_MS: u64 = 500;
/// The same where callers have time for one attempt only, in milliseconds: some round trips between a caller and its
/// backend server. Many openers of a rush come from callers that have left, and would hold slots for nothing.
pub(crate) const EXPECTED_SOON_MS: u64 = 60;
/// How old a count of the requests may be where openers wait for a slot, in milliseconds: a part of the time for
/// which a taken opener counts.
const COUNT_MAX_AGE_MS: u64 = 20;

/// Where a flow is, as far as the agent knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holding {
    /// The backend server was handed the opener; whether the flow opens here is the caller's choice.
    Opening(Opening),
    /// The backend server was handed a packet of it and may still return it.
    Unconfirmed {
        since_ms: u64,
        asker: Option<Ipv4Addr>,
    },
    /// It is open here.
    Open,
    /// Another agent said that it holds it.
    Elsewhere(Ipv4Addr),
    /// It is not here, for certain.
    Absent,
}

/// An opener that the backend server has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Opening {
    pub(crate) since_ms: u64,
    pub(crate) packet: Vec<u8>,
    pub(crate) balancer: Ipv4Addr,
    pub(crate) hops: u8,
    pub(crate) copy: u32,
    /// For how long its caller had waited before the first copy, as far as known, in milliseconds.
    pub(crate) waited_ms: u16,
    /// How long it counts as a request before its caller has sent one, in milliseconds.
    pub(crate) expected_ms: u64,
    pub(crate) answered: bool,
    pub(crate) backend_sequence: u32,
}

/// A request that the backend server has not begun to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Running {
    /// The caller's name for it, where its packet showed one.
    pub(crate) id: String,
    /// When its last new data came.
    pub(crate) since_ms: u64,
    /// Whether it was noted as one that takes too long.
    pub(crate) overdue: bool,
    /// For how long it counts as work, in milliseconds.
    pub(crate) counts_ms: u64,
}

impl Running {
    /// Notes a request that is handed over now.
    pub(crate) fn new(id: Option<&str>, counts_ms: u64, now_ms: u64) -> Self {
        Self {
            id: id.unwrap_or("unknown").to_owned(),
            since_ms: now_ms,
            overdue: false,
            counts_ms,
        }
    }
}

/// One flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flow {
    pub(crate) holding: Holding,
    /// Since when it is known here.
    pub(crate) since_ms: u64,
    pub(crate) seen_ms: u64,
    /// The next number that the caller expects, which a reset must fit.
    pub(crate) caller_acknowledgement: u32,
    pub(crate) running: Option<Running>,
    pub(crate) closed: bool,
    /// Whether the backend server showed that it holds the flow; silence shows nothing.
    pub(crate) shown: bool,
    /// The number after the last byte that the caller sent, where one was seen.
    pub(crate) caller_next: Option<u32>,
    /// The next number that the backend server expects, where it said so: copies of what is before it are no request.
    pub(crate) acknowledged: Option<u32>,
    /// The number after the last byte that the backend server sent, where one was seen.
    pub(crate) backend_next: Option<u32>,
    /// Whether a request came in several packets, or one behind another: which of them an answer ends can't be told.
    pub(crate) mixes_requests: bool,
    /// Whether the last packet of the backend server may be followed by more of the same answer.
    pub(crate) answer_goes_on: bool,
    /// Whether its caller was told that it has ended, while its backend server still holds it.
    pub(crate) told_ended: bool,
    /// Whether it was opened under the agent's eyes.
    pub(crate) was_seen_opening: bool,
    /// Whether its caller ended it while a request was running.
    pub(crate) caller_left: bool,
}

impl Flow {
    pub(crate) fn new(holding: Holding, now_ms: u64) -> Self {
        Self {
            holding,
            since_ms: now_ms,
            seen_ms: now_ms,
            caller_acknowledgement: 0,
            running: None,
            closed: false,
            shown: false,
            caller_next: None,
            acknowledged: None,
            backend_next: None,
            mixes_requests: false,
            answer_goes_on: false,
            told_ended: false,
            was_seen_opening: false,
            caller_left: false,
        }
    }

    /// Tells whether a packet of the caller brings data that was not seen before.
    pub(crate) fn takes_new_data(&mut self, segment: &Segment) -> bool {
        let end = segment.end_sequence();
        let comes_after = |next: Option<u32>| next.is_none_or(|next| is_after(end, next));
        let is_new = segment.payload_bytes > 0
            && comes_after(self.caller_next)
            && comes_after(self.acknowledged);
        if is_new {
            self.caller_next = Some(end);
        }
        is_new
    }

    /// Notes that the backend server has everything of the caller before this number.
    pub(crate) fn note_acknowledged(&mut self, next: u32) {
        if self.acknowledged.is_none_or(|known| is_after(next, known)) {
            self.acknowledged = Some(next);
        }
    }

    /// Tells whether a packet of the backend server shows that an answer has begun: it carries data, or
    /// ends the flow behind data that was overtaken on its way.
    pub(crate) fn takes_answer(&mut self, segment: &Segment) -> bool {
        let overtook = segment.ends
            && self
                .backend_next
                .is_none_or(|next| is_after(segment.sequence, next));
        let end = segment.end_sequence().wrapping_add(segment.accepts.into());
        if self.backend_next.is_none_or(|next| is_after(end, next)) {
            self.backend_next = Some(end);
        }
        segment.payload_bytes > 0 || overtook
    }

    /// Tells whether it carries no request, which shows only once one was answered under the agent's eyes and its
    /// caller has acknowledged the answer.
    fn is_idle(&self) -> bool {
        let acknowledged = self.backend_next == Some(self.caller_acknowledgement);
        let is_clear = !self.mixes_requests && !self.answer_goes_on;
        let was_answered = self.caller_next.is_some() && self.running.is_none() && acknowledged;
        self.is_open() && self.shown && was_answered && is_clear
    }

    /// Tells whether the flow is open at the backend server.
    fn is_open(&self) -> bool {
        self.holding == Holding::Open && !self.closed
    }

    /// Notes a request that takes too long; says so once.
    fn became_overdue(&mut self, key: &FlowKey, now_ms: u64) -> bool {
        let Some(running) = self.running.as_mut().filter(|_| !self.closed) else {
            return false;
        };
        if running.overdue || now_ms < running.since_ms + OVERDUE_MS {
            return false;
        }
        running.overdue = true;
        log::warn!(
            "event=request_overdue request={} flow={key} waited_ms={}",
            running.id,
            now_ms.saturating_sub(running.since_ms)
        );
        true
    }

    /// Tells whether it takes or will soon take a slot there.
    fn is_busy(&self, now_ms: u64) -> bool {
        match &self.holding {
            Holding::Opening(opening) => now_ms < opening.since_ms + opening.expected_ms,
            _ => {
                let waits = |running: &Running| now_ms < running.since_ms + running.counts_ms;
                self.is_open() && self.running.as_ref().is_some_and(waits)
            }
        }
    }
}

/// Tells whether one number of a flow's bytes comes after another; numbers wrap.
pub(crate) fn is_after(number: u32, other: u32) -> bool {
    (1..=u32::MAX / 2).contains(&number.wrapping_sub(other))
}

/// The flows of one agent, with counts of the open ones and of the requests that run.
#[derive(Debug)]
pub(crate) struct FlowBook {
    flows: FlowMap<Flow>,
    metrics: OpaqueMetrics,
    lifetime_ms: u64,
    open: u32,
    busy: u32,
    counted_ms: u64,
}

impl FlowBook {
    /// Makes a book without flows; one without a packet for `lifetime_ms` is forgotten.
    pub(crate) fn new(metrics: &OpaqueMetrics, lifetime_ms: u64) -> Self {
        Self {
            flows: FlowMap::new(MAX_FLOWS),
            metrics: metrics.clone(),
            lifetime_ms,
            open: 0,
            busy: 0,
            counted_ms: 0,
        }
    }

    /// Returns the requests that run or wait at the backend server.
    pub(crate) fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the same, without what counted as a request until a moment ago and does no more.
    pub(crate) fn busy_now(&mut self, now_ms: u64) -> u32 {
        if now_ms >= self.counted_ms + COUNT_MAX_AGE_MS {
            self.count_anew(now_ms);
        }
        self.busy
    }

    /// Returns the flows open there.
    pub(crate) fn open(&self) -> u32 {
        self.open
    }

    pub(crate) fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.flows.get(key)
    }

    /// Inserts or replaces a flow; says whether there was room.
    pub(crate) fn insert(&mut self, key: FlowKey, flow: Flow, now_ms: u64) -> bool {
        self.remove(&key, now_ms);
        let (open, busy) = (flow.is_open(), flow.is_busy(now_ms));
        let inserted = self.flows.insert(key, flow);
        if inserted {
            self.count(open, busy, 1);
        }
        inserted
    }

    /// Changes a flow, if it is known, and returns what the change returns.
    pub(crate) fn update<T>(
        &mut self,
        key: &FlowKey,
        now_ms: u64,
        change: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let flow = self.flows.get_mut(key)?;
        let before = (flow.is_open(), flow.is_busy(now_ms));
        let result = change(flow);
        let after = (flow.is_open(), flow.is_busy(now_ms));
        self.count(before.0, before.1, -1);
        self.count(after.0, after.1, 1);
        Some(result)
    }

    pub(crate) fn remove(&mut self, key: &FlowKey, now_ms: u64) -> Option<Flow> {
        let flow = self.flows.remove(key)?;
        self.count(flow.is_open(), flow.is_busy(now_ms), -1);
        Some(flow)
    }

    /// Takes out everything that a backend server held which has ended before `end_ms`.
    pub(crate) fn take_remains(&mut self, end_ms: u64, now_ms: u64) -> Remains {
        let mut remains = Remains::default();
        self.flows.retain(|key, flow| {
            if flow.since_ms >= end_ms {
                return true;
            }
            match &flow.holding {
                Holding::Elsewhere(_) | Holding::Absent => return true,
                Holding::Opening(opening) if !flow.closed => {
                    remains.openers.push((*key, opening.clone()));
                }
                // Another backend server may hold what this one never showed.
                Holding::Open if flow.shown && !flow.closed => remains.flows.push(EndedFlow {
                    key: *key,
                    acknowledgement: flow.caller_acknowledgement,
                }),
                Holding::Open | Holding::Opening(_) | Holding::Unconfirmed { .. } => {}
            }
            if let Some(running) = &flow.running {
                self.metrics.requests_lost.inc();
                log::warn!(
                    "event=request_lost request={} flow={key} waited_ms={} reason=backend_ended",
                    running.id,
                    now_ms.saturating_sub(running.since_ms)
                );
            }
            false
        });
        self.count_anew(now_ms);
        remains
    }

    /// Returns at most `most` flows without a request, out of those that `may_end`, whose callers are to be told
    /// that they have ended; each is returned once.
    pub(crate) fn end_idle(
        &mut self,
        most: usize,
        may_end: impl Fn(&FlowKey) -> bool,
    ) -> Vec<EndedFlow> {
        let mut ended = Vec::new();
        self.flows.retain(|key, flow| {
            if ended.len() < most && !flow.told_ended && flow.is_idle() && may_end(key) {
                flow.told_ended = true;
                ended.push(EndedFlow {
                    key: *key,
                    acknowledgement: flow.caller_acknowledgement,
                });
            }
            true
        });
        ended
    }

    /// Forgets flows of which nothing was heard for long, counts anew, and returns how many requests
    /// have become overdue.
    pub(crate) fn expire(&mut self, now_ms: u64) -> u32 {
        let (mut open, mut busy, mut overdue) = (0, 0, 0);
        let lifetime_ms = self.lifetime_ms;
        self.flows.retain(|key, flow| {
            let kept_ms = if flow.closed { CLOSED_MS } else { lifetime_ms };
            let keeps = now_ms < flow.seen_ms + kept_ms;
            if keeps {
                overdue += u32::from(flow.became_overdue(key, now_ms));
                open += u32::from(flow.is_open());
                busy += u32::from(flow.is_busy(now_ms));
            } else if let Some(running) = &flow.running {
                log::warn!(
                    "event=request_unanswered request={} flow={key} waited_ms={}",
                    running.id,
                    now_ms.saturating_sub(running.since_ms)
                );
            }
            keeps
        });
        (self.open, self.busy) = (open, busy);
        self.counted_ms = now_ms;
        self.show();
        overdue
    }

    fn count_anew(&mut self, now_ms: u64) {
        let (mut open, mut busy) = (0, 0);
        self.flows.retain(|_, flow| {
            open += u32::from(flow.is_open());
            busy += u32::from(flow.is_busy(now_ms));
            true
        });
        (self.open, self.busy) = (open, busy);
        self.counted_ms = now_ms;
        self.show();
    }

    fn count(&mut self, open: bool, busy: bool, sign: i32) {
        self.open = self.open.saturating_add_signed(i32::from(open) * sign);
        self.busy = self.busy.saturating_add_signed(i32::from(busy) * sign);
    }

    fn show(&self) {
        self.metrics.flows_open.set(i64::from(self.open));
        self.metrics.requests_busy.set(i64::from(self.busy));
    }
}
