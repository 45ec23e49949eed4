//! One flow, as its agent knows it.

use std::net::Ipv4Addr;

use crate::opaque::packets::segment::{FlowKey, Segment};

/// How long a request may stay without an answer before it counts as failed, in milliseconds: a full
/// queue of the users' slowest requests at a cold backend server takes half of it.
const OVERDUE_MS: u64 = 1_000;

/// How long a request without an answer counts as work, in milliseconds: callers of the users' short
/// requests give up after 2.5 to 3 seconds. One of a backend server that swallowed it would otherwise
/// hold its place for as long as a flow lives.
pub(crate) const REQUEST_BUSY_TIMEOUT_MS: u64 = 3_000;
/// How long a taken opener counts as a request before its caller has sent one, in milliseconds.
pub(crate) const OPENER_BUSY_TIMEOUT_MS: u64 = 500;
/// The same where callers have time for one attempt only, in milliseconds: some round trips between a caller and its
/// backend server. Many openers of a rush come from callers that have left, and would hold slots for nothing.
pub(crate) const DEADLINE_OPENER_BUSY_TIMEOUT_MS: u64 = 60;

/// Where a flow is, as far as the agent knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FlowState {
    /// The backend server was handed the opener; whether the flow opens here is the caller's choice.
    Opening(PendingOpener),
    /// The backend server was handed a packet of it and may still return it.
    Unconfirmed { since_ms: u64, source: PacketSource },
    /// It is open here.
    Open,
    /// Another agent said that it holds it.
    Elsewhere(Ipv4Addr),
    /// It is not here, for certain.
    Absent,
}

/// Who sent a packet of a flow that the agent does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketSource {
    /// A balancer that does not know where the flow opened.
    Balancer,
    /// A balancer that was told that the flow opened here.
    BalancerKnowsOpened,
    /// An agent that asks who holds the flow.
    AskingAgent(Ipv4Addr),
}

/// An opener that the backend server has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingOpener {
    pub(crate) since_ms: u64,
    pub(crate) packet: Vec<u8>,
    pub(crate) balancer: Ipv4Addr,
    pub(crate) hops: u8,
    pub(crate) copy: u32,
    /// For how long its caller had waited before the first copy, as far as known, in milliseconds.
    pub(crate) waited_ms: u16,
    /// How long it counts as a request before its caller has sent one, in milliseconds.
    pub(crate) busy_timeout_ms: u64,
    pub(crate) is_answered: bool,
    pub(crate) backend_sequence: u32,
}

/// A request that the backend server has not begun to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunningRequest {
    /// The caller's name for it, where its packet showed one.
    pub(crate) id: String,
    /// When its last new data came.
    pub(crate) since_ms: u64,
    /// Whether it was noted as one that takes too long.
    pub(crate) is_overdue: bool,
    /// For how long it counts as work, in milliseconds.
    pub(crate) busy_timeout_ms: u64,
}

impl RunningRequest {
    /// Notes a request that is handed over now.
    pub(crate) fn new(id: Option<&str>, busy_timeout_ms: u64, now_ms: u64) -> Self {
        Self {
            id: id.unwrap_or("unknown").to_owned(),
            since_ms: now_ms,
            is_overdue: false,
            busy_timeout_ms,
        }
    }
}

/// One flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flow {
    pub(crate) state: FlowState,
    /// Since when it is known here.
    pub(crate) since_ms: u64,
    pub(crate) last_seen_ms: u64,
    /// The next number that the caller expects, which a reset must fit.
    pub(crate) caller_acknowledgement: u32,
    pub(crate) running: Option<RunningRequest>,
    pub(crate) is_closed: bool,
    /// Whether the backend server showed that it holds the flow; silence shows nothing.
    pub(crate) is_confirmed: bool,
    /// The number after the last byte that the caller sent, where one was seen.
    pub(crate) caller_next_sequence: Option<u32>,
    /// The next number that the backend server expects, where it said so: copies of what is before it are no request.
    pub(crate) backend_acknowledgement: Option<u32>,
    /// The number after the last byte that the backend server sent, where one was seen.
    pub(crate) backend_next_sequence: Option<u32>,
    /// Whether a request came in several packets, or one behind another: which of them an answer ends can't be told.
    pub(crate) has_ambiguous_requests: bool,
    /// Whether the last packet of the backend server may be followed by more of the same answer.
    pub(crate) may_continue_answer: bool,
    /// Whether its caller was told that it has ended, while its backend server still holds it.
    pub(crate) is_end_sent: bool,
    /// Whether its caller ended it while a request was running.
    pub(crate) has_caller_left: bool,
    /// Which balancer was told last that the flow has opened here, and when.
    pub(crate) last_opened_notice: Option<(Ipv4Addr, u64)>,
}

impl Flow {
    pub(crate) fn new(state: FlowState, now_ms: u64) -> Self {
        Self {
            state,
            since_ms: now_ms,
            last_seen_ms: now_ms,
            caller_acknowledgement: 0,
            running: None,
            is_closed: false,
            is_confirmed: false,
            caller_next_sequence: None,
            backend_acknowledgement: None,
            backend_next_sequence: None,
            has_ambiguous_requests: false,
            may_continue_answer: false,
            is_end_sent: false,
            has_caller_left: false,
            last_opened_notice: None,
        }
    }

    /// Tells whether a packet of the caller brings data that was not seen before.
    pub(crate) fn record_new_data(&mut self, segment: &Segment) -> bool {
        let end = segment.end_sequence();
        let comes_after = |next: Option<u32>| next.is_none_or(|next| is_after(end, next));
        let is_new = segment.payload_bytes > 0
            && comes_after(self.caller_next_sequence)
            && comes_after(self.backend_acknowledgement);
        if is_new {
            self.caller_next_sequence = Some(end);
        }
        is_new
    }

    /// Notes that the backend server has everything of the caller before this number.
    pub(crate) fn record_acknowledgement(&mut self, next: u32) {
        if self.backend_acknowledgement.is_none_or(|known| is_after(next, known)) {
            self.backend_acknowledgement = Some(next);
        }
    }

    /// Tells whether a packet of the backend server shows that an answer has begun: it carries data, or
    /// ends the flow behind data that was overtaken on its way.
    pub(crate) fn record_answer(&mut self, segment: &Segment) -> bool {
        let overtook = segment.ends
            && self
                .backend_next_sequence
                .is_none_or(|next| is_after(segment.sequence, next));
        let end = segment.end_sequence().wrapping_add(segment.accepts.into());
        if self.backend_next_sequence.is_none_or(|next| is_after(end, next)) {
            self.backend_next_sequence = Some(end);
        }
        segment.payload_bytes > 0 || overtook
    }

    /// Tells whether it carries no request, which shows only once one was answered under the agent's eyes and its
    /// caller has acknowledged the answer.
    pub(super) fn is_idle(&self) -> bool {
        let acknowledged = self.backend_next_sequence == Some(self.caller_acknowledgement);
        let is_clear = !self.has_ambiguous_requests && !self.may_continue_answer;
        let was_answered = self.caller_next_sequence.is_some() && self.running.is_none() && acknowledged;
        self.is_open() && self.is_confirmed && was_answered && is_clear
    }

    /// Tells whether the backend server showed that the flow has opened there, and nowhere else.
    pub(crate) fn has_opened(&self) -> bool {
        self.is_open() && self.is_confirmed
    }

    /// Tells whether the flow is open at the backend server.
    pub(super) fn is_open(&self) -> bool {
        self.state == FlowState::Open && !self.is_closed
    }

    /// Notes a request that takes too long; says so once.
    pub(super) fn mark_overdue(&mut self, key: &FlowKey, now_ms: u64) -> bool {
        let Some(running) = self.running.as_mut().filter(|_| !self.is_closed) else {
            return false;
        };
        if running.is_overdue || now_ms < running.since_ms + OVERDUE_MS {
            return false;
        }
        running.is_overdue = true;
        log::warn!(
            "event=request_overdue request={} flow={key} waited_ms={}",
            running.id,
            now_ms.saturating_sub(running.since_ms)
        );
        true
    }

    /// Tells whether it takes or will soon take a slot there.
    pub(super) fn is_busy(&self, now_ms: u64) -> bool {
        match &self.state {
            FlowState::Opening(opening) => now_ms < opening.since_ms + opening.busy_timeout_ms,
            _ => {
                let waits = |running: &RunningRequest| now_ms < running.since_ms + running.busy_timeout_ms;
                self.is_open() && self.running.as_ref().is_some_and(waits)
            }
        }
    }
}

/// Tells whether one number of a flow's bytes comes after another; numbers wrap.
pub(crate) fn is_after(number: u32, other: u32) -> bool {
    (1..=u32::MAX / 2).contains(&number.wrapping_sub(other))
}
