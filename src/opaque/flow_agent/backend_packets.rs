//! Packets of the backend server, and the timeouts of packets that it was handed.

use std::net::Ipv4Addr;

use crate::opaque::flow_agent::stall::may_continue;
use crate::opaque::flow_agent::{AgentContext, BACKEND_TIMEOUT_MS, FlowAgent, send_to_peer};
use crate::opaque::flows::flow::{Flow, FlowState, PacketSource, RunningRequest};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The duration from which an answer is logged as slow, in milliseconds. It is above the users'
/// latency objective for every kind of request.
const SLOW_ANSWER_MS: u64 = 500;
/// The lowest status that is logged as an error.
const FIRST_ERROR_STATUS: u16 = 400;
/// The lowest status that is a failure of the backend server and not of its caller.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;
/// The status of a backend server that has no room. It does not count as a failure while its slots
/// are busy.
const OVERLOADED_STATUS: u16 = 503;

/// Why a backend server ended a flow whose request it had not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnansweredEnd {
    /// The backend server failed the request.
    Closed,
    /// The caller had already ended the flow.
    CallerLeft,
    /// The backend server reset a flow on which it had sent no packet to this agent: a flow from
    /// before a restart.
    FromBefore,
}

impl UnansweredEnd {
    /// Returns the reason as written in log lines.
    fn reason(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::CallerLeft => "caller_left",
            Self::FromBefore => "flow_from_before",
        }
    }
}

impl FlowAgent {
    /// Handles a packet that the backend server returned because it does not hold the flow.
    pub(super) fn handle_returned(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        mut packet: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        (self.wire.restore)(&mut packet);
        let key = segment.flow_from_caller();
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        match flow.state.clone() {
            FlowState::Opening(opening) => {
                self.flows.remove(&key, context.now_ms);
                self.hand_on(context, &key, opening, actions);
            }
            // A late copy of an opener whose flow has already opened, here or elsewhere.
            _ if segment.opens => {}
            state => {
                self.stall_detector.remove_request(key);
                let lost = self.flows.update(&key, context.now_ms, |flow| {
                    flow.state = FlowState::Absent;
                    flow.running.take()
                });
                if let Some(running) = lost.flatten() {
                    self.metrics.requests_lost.inc();
                    let id = running.id;
                    log::warn!("event=request_lost request={id} flow={key} reason=flow_not_held");
                }
                match state {
                    FlowState::Unconfirmed {
                        source: PacketSource::AskingAgent(asking_agent),
                        ..
                    } => send_to_peer(MessageKind::Absent, &key, asking_agent, actions),
                    // The flow opened here and nowhere else, and ended with the backend server's
                    // process.
                    FlowState::Unconfirmed {
                        source: PacketSource::BalancerKnowsOpened,
                        ..
                    } => {
                        self.metrics.ends_proved_by_backend.inc();
                        self.reset_gone_flow(context, &key, segment.acknowledgement, 0, actions);
                    }
                    _ => {
                        self.start_lookup(context, segment, &packet, Ipv4Addr::UNSPECIFIED, actions)
                    }
                }
            }
        }
    }

    /// Updates a flow by a packet that the backend server sent on it.
    pub(super) fn handle_answer(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
    ) {
        let now_ms = context.now_ms;
        let key = segment.flow_from_backend();
        let has_deadline = context.directory.has_deadline(key.called);
        // Data that the backend server has acknowledged is not a new request when its caller sends
        // it again.
        let tracks_acknowledged = has_deadline && !segment.resets;
        let acknowledged = tracks_acknowledged.then_some(segment.acknowledgement);
        if self.flows.get(&key).is_none() {
            if !segment.resets && !segment.accepts {
                let mut flow = Flow::new(FlowState::Open, now_ms);
                flow.backend_acknowledgement = acknowledged;
                flow.caller_acknowledgement = segment.sequence;
                flow.is_confirmed = true;
                self.insert_flow(key, flow, now_ms);
            }
            if segment.payload_bytes > 0 {
                self.record_progress(key, now_ms);
            }
            return;
        }
        let disconnected_ms = self.disconnected_ms;
        let answered = self.flows.update(&key, now_ms, |flow| {
            flow.last_seen_ms = now_ms;
            let was_confirmed = flow.is_confirmed;
            flow.is_confirmed |= !segment.accepts;
            if let Some(next) = acknowledged {
                flow.record_acknowledgement(next);
            }
            match &mut flow.state {
                FlowState::Opening(opening) if segment.accepts => {
                    opening.is_answered = true;
                    opening.backend_sequence = segment.sequence;
                }
                FlowState::Opening(_) | FlowState::Open => {}
                state => *state = FlowState::Open,
            }
            flow.is_closed |= segment.ends || segment.resets;
            let survived_disconnect =
                disconnected_ms.is_some_and(|disconnected_ms| flow.since_ms < disconnected_ms);
            let seen = flow.backend_next_sequence;
            let begins_answer = flow.record_answer(segment);
            let has_new_data = segment.payload_bytes > 0 && flow.backend_next_sequence != seen;
            if has_new_data {
                flow.may_continue_answer = may_continue(segment);
            }
            let running = flow.running.take_if(|_| begins_answer || flow.is_closed);
            let end = match (begins_answer, has_deadline) {
                (true, _) => None,
                (false, true) => Some(unanswered_end(flow, segment, was_confirmed)),
                (false, false) => Some(UnansweredEnd::Closed),
            };
            (
                survived_disconnect,
                has_new_data,
                running.map(|running| (running, end)),
            )
        });
        let (survived_disconnect, has_new_data, answered) = answered.unwrap_or_default();
        if survived_disconnect {
            // The process still runs: it only closed an idle connection.
            self.disconnected_ms = None;
        }
        let status = (self.wire.status)(packet);
        let is_error = is_server_error(status);
        if has_new_data && !is_error {
            self.record_progress(key, now_ms);
        } else if answered.is_some() {
            self.stall_detector.remove_request(key);
        }
        match answered {
            Some((running, None)) => {
                if !is_error {
                    // The time until a refusal says nothing about the service time.
                    self.service_time.record_answer(now_ms);
                }
                self.update_slot_time(context);
                self.record_answer(context, &key, &running, status);
            }
            Some((running, Some(end))) => self.record_lost_request(&key, &running, end, now_ms),
            None => {}
        }
    }

    /// Records that the backend server ended a flow without answering its request.
    fn record_lost_request(
        &mut self,
        key: &FlowKey,
        running: &RunningRequest,
        end: UnansweredEnd,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(running.since_ms);
        log::warn!(
            "event=request_lost request={} flow={key} waited_ms={waited_ms} reason={}",
            running.id,
            end.reason()
        );
        self.metrics.requests_lost.inc();
        if end == UnansweredEnd::Closed {
            self.record_failed(now_ms);
        }
    }

    /// Records an answered request, by its status as served, failed, or shed.
    fn record_answer(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        running: &RunningRequest,
        status: Option<u16>,
    ) {
        let now_ms = context.now_ms;
        let took_ms = now_ms.saturating_sub(running.since_ms);
        self.metrics
            .request_seconds
            .observe(took_ms as f64 / 1_000.0);
        if status == Some(OVERLOADED_STATUS) && self.may_shed(context, key) {
            // Counted as failures, these refusals would mark a full server as failing during a
            // rush, and it would be left idle once it has room again.
            self.metrics.requests_shed.inc();
            let busy = self.flows.busy_requests();
            let least = self
                .recent_min_busy_at_shed(now_ms)
                .map_or(busy, |least| least.min(busy));
            self.min_busy_at_shed = Some((least, now_ms));
        } else if is_server_error(status) {
            self.record_failed(now_ms);
        } else {
            self.record_served(now_ms);
        }
        // An answer without a readable status is treated as served: a refusal is short enough for
        // its status to be readable.
        let failed = status.is_some_and(|status| status >= FIRST_ERROR_STATUS);
        if failed || took_ms >= SLOW_ANSWER_MS {
            log::info!(
                "event=request_answered request={} flow={key} status={} took_ms={took_ms} busy={}",
                running.id,
                status.map_or_else(|| "unknown".to_owned(), |status| status.to_string()),
                self.flows.busy_requests()
            );
        }
    }

    /// Handles the timeout of a pending flow and returns whether the flow is no longer pending.
    pub(super) fn resolve_pending(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return true;
        };
        match flow.state.clone() {
            FlowState::Opening(opening) if !opening.is_answered => {
                if context.now_ms < opening.since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                if self.silent_since_ms.replace(opening.since_ms).is_none() {
                    self.wants_reconnect = true;
                    log::warn!("event=backend_silent flow={key} waited_ms={BACKEND_TIMEOUT_MS}");
                }
                self.hand_on(context, key, opening, actions);
            }
            FlowState::Unconfirmed { since_ms, source } => {
                if context.now_ms < since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                self.flows
                    .update(key, context.now_ms, |flow| flow.state = FlowState::Open);
                if let PacketSource::AskingAgent(asking_agent) = source {
                    send_to_peer(MessageKind::Found, key, asking_agent, actions);
                }
            }
            _ => {}
        }
        true
    }
}

/// Returns why the backend server ended a flow with this packet. `was_confirmed` is whether it had
/// sent packets on the flow before.
///
/// After a restart of many hosts, callers leave whose timeouts expired during the outage, and flows
/// from before the restart are reset. Counted as failures, both would take a backend server out of
/// rotation that has just come back.
fn unanswered_end(flow: &Flow, segment: &Segment, was_confirmed: bool) -> UnansweredEnd {
    if flow.has_caller_left {
        UnansweredEnd::CallerLeft
    } else if segment.resets && !was_confirmed {
        UnansweredEnd::FromBefore
    } else {
        UnansweredEnd::Closed
    }
}

/// Returns whether an answer is a failure of the backend server. An answer without a readable
/// status is not.
fn is_server_error(status: Option<u16>) -> bool {
    status.is_some_and(|status| status >= FIRST_SERVER_ERROR_STATUS)
}
