//! The state that an agent keeps for one flow.

use std::net::Ipv4Addr;

use crate::opaque::packets::segment::{FlowKey, Segment};

/// The age at which a request without an answer is overdue and counted as failed, in milliseconds. A
/// full queue of the users' slowest requests at a cold backend server takes half of it.
const OVERDUE_MS: u64 = 1_000;

/// The timeout after which a request without an answer is no longer busy, in milliseconds. Callers of
/// the users' short requests give up after 2.5 to 3 seconds. Without this limit, a request that the
/// backend server lost would occupy a slot for the lifetime of its flow.
pub(crate) const REQUEST_BUSY_TIMEOUT_MS: u64 = 3_000;
/// The timeout after which a taken opener is no longer busy if its caller has sent no request, in
/// milliseconds.
pub(crate) const OPENER_BUSY_TIMEOUT_MS: u64 = 500;
/// [`OPENER_BUSY_TIMEOUT_MS`] for routes with a deadline, whose callers have time for one attempt:
/// a few round trips between a caller and its backend server. In a rush, many openers come from
/// callers that have left, and would occupy slots for nothing.
pub(crate) const DEADLINE_OPENER_BUSY_TIMEOUT_MS: u64 = 60;

/// What the agent knows of where a flow is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FlowState {
    /// The backend server has the opener. The caller chooses whether the flow opens here.
    Opening(PendingOpener),
    /// The backend server has a packet of the flow, and may still return it.
    Unconfirmed { since_ms: u64, source: PacketSource },
    /// The flow is open at the backend server.
    Open,
    /// The agent on this host reported that it holds the flow.
    Elsewhere(Ipv4Addr),
    /// The backend server certainly does not hold the flow.
    Absent,
}

/// The sender of a packet whose flow the agent does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketSource {
    /// A balancer that does not know where the flow opened.
    Balancer,
    /// A balancer that knows that the flow opened here.
    BalancerKnowsOpened,
    /// An agent that looks up the holder of the flow.
    AskingAgent(Ipv4Addr),
}

/// An opener that the agent keeps until its flow opens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingOpener {
    pub(crate) since_ms: u64,
    pub(crate) packet: Vec<u8>,
    pub(crate) balancer: Ipv4Addr,
    pub(crate) hops: u8,
    /// The number of this copy; the caller's first one is 0.
    pub(crate) copy: u32,
    /// How long its caller had waited before the first copy, as far as known, in milliseconds.
    pub(crate) waited_ms: u16,
    /// The timeout after which it is no longer busy if its caller has sent no request, in
    /// milliseconds.
    pub(crate) busy_timeout_ms: u64,
    pub(crate) is_answered: bool,
    pub(crate) backend_sequence: u32,
}

/// A request that the backend server has not begun to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunningRequest {
    /// The caller's request id, or `unknown` if its packet shows none.
    pub(crate) id: String,
    /// When its last new data arrived.
    pub(crate) since_ms: u64,
    /// Whether it has been reported as overdue.
    pub(crate) is_overdue: bool,
    /// The timeout after which it is no longer busy, in milliseconds.
    pub(crate) busy_timeout_ms: u64,
}

impl RunningRequest {
    /// Creates a request that is handed to the backend server now.
    pub(crate) fn new(id: Option<&str>, busy_timeout_ms: u64, now_ms: u64) -> Self {
        Self {
            id: id.unwrap_or("unknown").to_owned(),
            since_ms: now_ms,
            is_overdue: false,
            busy_timeout_ms,
        }
    }
}

/// The state of one flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flow {
    pub(crate) state: FlowState,
    /// When the agent first saw the flow.
    pub(crate) since_ms: u64,
    /// When the agent last saw a packet of the flow.
    pub(crate) last_seen_ms: u64,
    /// The next sequence number that the caller expects. A reset must carry it.
    pub(crate) caller_acknowledgement: u32,
    pub(crate) running: Option<RunningRequest>,
    pub(crate) is_closed: bool,
    /// Whether a packet of the backend server proved that it holds the flow. Silence proves nothing.
    pub(crate) is_confirmed: bool,
    /// The sequence number after the last byte seen from the caller.
    pub(crate) caller_next_sequence: Option<u32>,
    /// The next sequence number that the backend server expects, if known. Data before it is a
    /// retransmission and no new request.
    pub(crate) backend_acknowledgement: Option<u32>,
    /// The sequence number after the last byte seen from the backend server.
    pub(crate) backend_next_sequence: Option<u32>,
    /// Whether a request came in several packets, or while another one was running. Which request
    /// an answer belongs to is then unknown.
    pub(crate) has_ambiguous_requests: bool,
    /// Whether the last packet of the backend server may be followed by more of the same answer.
    pub(crate) may_continue_answer: bool,
    /// Whether the flow was ended towards its caller while its backend server still holds it.
    pub(crate) is_end_sent: bool,
    /// Whether its caller ended the flow while a request was running.
    pub(crate) has_caller_left: bool,
    /// The balancer last notified that the flow has opened here, and when.
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

    /// Records a packet of the caller, and returns whether it carries data that was not seen before.
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

    /// Records that the backend server has all data of the caller before the sequence number `next`.
    pub(crate) fn record_acknowledgement(&mut self, next: u32) {
        if self
            .backend_acknowledgement
            .is_none_or(|known| is_after(next, known))
        {
            self.backend_acknowledgement = Some(next);
        }
    }

    /// Records a packet of the backend server, and returns whether it shows that an answer has begun.
    ///
    /// It does if it carries data, or if it ends the flow after data that has not arrived yet.
    pub(crate) fn record_answer(&mut self, segment: &Segment) -> bool {
        let overtook = segment.ends
            && self
                .backend_next_sequence
                .is_none_or(|next| is_after(segment.sequence, next));
        let end = segment.end_sequence().wrapping_add(segment.accepts.into());
        if self
            .backend_next_sequence
            .is_none_or(|next| is_after(end, next))
        {
            self.backend_next_sequence = Some(end);
        }
        segment.payload_bytes > 0 || overtook
    }

    /// Returns whether the flow certainly carries no request.
    ///
    /// This is known only once the agent has seen a request answered and the caller acknowledge the
    /// answer.
    pub(super) fn is_idle(&self) -> bool {
        let acknowledged = self.backend_next_sequence == Some(self.caller_acknowledgement);
        let is_clear = !self.has_ambiguous_requests && !self.may_continue_answer;
        let was_answered =
            self.caller_next_sequence.is_some() && self.running.is_none() && acknowledged;
        self.is_open() && self.is_confirmed && was_answered && is_clear
    }

    /// Returns whether the flow is known to have opened at this backend server and at no other one.
    pub(crate) fn has_opened(&self) -> bool {
        self.is_open() && self.is_confirmed
    }

    /// Returns whether the flow is open at the backend server.
    pub(super) fn is_open(&self) -> bool {
        self.state == FlowState::Open && !self.is_closed
    }

    /// Marks and logs a running request that is overdue. Returns true once for each request.
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

    /// Returns whether the flow occupies a slot of the backend server, or will soon.
    pub(super) fn is_busy(&self, now_ms: u64) -> bool {
        match &self.state {
            FlowState::Opening(opener) => now_ms < opener.since_ms + opener.busy_timeout_ms,
            _ => {
                let waits =
                    |running: &RunningRequest| now_ms < running.since_ms + running.busy_timeout_ms;
                self.is_open() && self.running.as_ref().is_some_and(waits)
            }
        }
    }
}

/// Returns whether the sequence number `number` comes after `other`. Sequence numbers wrap.
pub(crate) fn is_after(number: u32, other: u32) -> bool {
    (1..=u32::MAX / 2).contains(&number.wrapping_sub(other))
}
