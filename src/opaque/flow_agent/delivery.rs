//! Packets of callers on flows that already exist: handed to the backend server, held back until it
//! has room, or sent to the agent that holds the flow.

use std::net::Ipv4Addr;

use crate::config::deadlines::Deadline;
use crate::opaque::flow_agent::{AgentContext, FlowAgent, send_holds, send_to_balancer};
use crate::opaque::flows::flow::{
    Flow, FlowState, PacketSource, REQUEST_BUSY_TIMEOUT_MS, RunningRequest,
};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The minimum interval between two notices to a balancer that a flow has opened here, in
/// milliseconds. Packets that the balancer sent before it received the first notice do not each
/// need another one.
const OPENED_RESEND_MS: u64 = 200;

/// How a caller's packet is delivered.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    /// The flow is not held here.
    NotHeld,
    /// The packet has no new data.
    NoNewData,
    /// The packet begins a request that has to wait for a slot.
    HeldBack,
    /// The packet goes to the backend server.
    HandedOver,
}

impl FlowAgent {
    /// Handles a packet of a caller other than an opener.
    pub(super) fn handle_packet(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let balancer = message.host;
        if self.deliver_held(context, segment, packet, actions) {
            if !message.has_opened {
                self.send_opened(context, &key, balancer, actions);
            }
            return;
        }
        let state = self.flows.get(&key).map(|flow| flow.state.clone());
        match state {
            Some(FlowState::Elsewhere(host)) if context.directory.may_hold_flows(host) => {
                let now_ms = context.now_ms;
                self.flows
                    .update(&key, now_ms, |flow| flow.last_seen_ms = now_ms);
                let message = Message::new(MessageKind::Deliver);
                send_holds(&key, balancer, host, actions);
                actions.push(Action::ToPeer(host, message, packet.to_vec()));
            }
            // If the backend server returns the packet, the flow has ended, and no lookup is
            // needed.
            _ if message.has_opened => {
                self.try_backend(
                    context,
                    segment,
                    packet,
                    PacketSource::BalancerKnowsOpened,
                    actions,
                );
            }
            None if !self.knows_all_flows => {
                self.try_backend(context, segment, packet, PacketSource::Balancer, actions);
            }
            _ => self.start_lookup(context, segment, packet, balancer, actions),
        }
    }

    /// Hands a packet to the backend server if the flow is known to be held there, at once or once
    /// it has room. Returns whether the flow is held.
    pub(super) fn deliver_held(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> bool {
        let (key, now_ms) = (segment.flow_from_caller(), context.now_ms);
        let request_id = self.wire.request_id;
        // A packet without data begins no request.
        let must_hold_back = segment.payload_bytes > 0 && self.must_hold_back(context, &key);
        let deadline = context.directory.deadline(key.called);
        let busy_timeout_ms = busy_timeout_ms(deadline);
        let delivery = self.flows.update(&key, now_ms, |flow| {
            let was_open = flow.state == FlowState::Open;
            if !confirm_held(flow, segment) {
                return Delivery::NotHeld;
            }
            flow.last_seen_ms = now_ms;
            flow.caller_acknowledgement = segment.acknowledgement;
            flow.has_caller_left |= segment.ends_without_data() && flow.running.is_some();
            if segment.resets && deadline.is_some() {
                // The caller has left, and the request needs no answer.
                flow.running = None;
            }
            // A retransmitted packet is not a new request, even if the answer has already begun.
            if !flow.record_new_data(segment) {
                return Delivery::NoNewData;
            }
            flow.has_ambiguous_requests |= flow.running.is_some();
            match &mut flow.running {
                Some(running) => running.since_ms = now_ms,
                None if must_hold_back && was_open => return Delivery::HeldBack,
                None => {
                    flow.running = Some(RunningRequest::new(
                        request_id(packet),
                        busy_timeout_ms,
                        now_ms,
                    ))
                }
            }
            Delivery::HandedOver
        });
        match delivery.unwrap_or(Delivery::NotHeld) {
            Delivery::NotHeld => return false,
            Delivery::HeldBack => self.hold_back(context, segment, packet, actions),
            Delivery::NoNewData if self.absorb_into_queued_request(segment, packet) => {}
            Delivery::NoNewData | Delivery::HandedOver => {
                let is_new = matches!(delivery, Some(Delivery::HandedOver));
                self.record_handed_over(context, segment, is_new);
                actions.push(Action::ToBackend(packet.to_vec()));
            }
        }
        true
    }

    /// Notifies a balancer that a flow has opened here, once that is certain, and again after an
    /// interval if its packets do not show that it knows.
    fn send_opened(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = context.now_ms;
        let is_due = self.flows.update(key, now_ms, |flow| {
            let was_sent = flow.last_opened_notice.is_some_and(|(host, sent_ms)| {
                host == balancer && now_ms < sent_ms + OPENED_RESEND_MS
            });
            let is_due = flow.has_opened() && !was_sent;
            if is_due {
                flow.last_opened_notice = Some((balancer, now_ms));
            }
            is_due
        });
        if is_due == Some(true) {
            let mut message = Message::new(MessageKind::Holds);
            message.host = self.identity.host;
            message.has_opened = true;
            send_to_balancer(message, key, balancer, actions);
        }
    }

    /// Hands a packet of an unknown flow to the backend server, which returns it if it does not
    /// hold the flow.
    pub(super) fn try_backend(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        source: PacketSource,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let state = FlowState::Unconfirmed {
            since_ms: context.now_ms,
            source,
        };
        let mut flow = Flow::new(state, context.now_ms);
        flow.caller_acknowledgement = segment.acknowledgement;
        if self.insert_flow(key, flow, context.now_ms) {
            self.pending_flows.push(key);
        }
        actions.push(Action::ToBackend(packet.to_vec()));
    }
}

/// Returns the timeout after which an unanswered request is no longer busy, in milliseconds: the
/// caller's timeout, where it is known.
pub(super) fn busy_timeout_ms(deadline: Option<Deadline>) -> u64 {
    deadline.map_or(REQUEST_BUSY_TIMEOUT_MS, |deadline| {
        deadline.timeout_ms.into()
    })
}

/// Returns whether a caller's packet belongs to a flow that is held here, and marks the flow as
/// open if so.
///
/// The caller opens the flow at the backend server whose sequence number it acknowledges first.
fn confirm_held(flow: &mut Flow, segment: &Segment) -> bool {
    match &flow.state {
        FlowState::Open | FlowState::Unconfirmed { .. } => true,
        FlowState::Elsewhere(_) | FlowState::Absent => false,
        FlowState::Opening(opening) => {
            let is_chosen = segment
                .acknowledgement
                .wrapping_sub(opening.backend_sequence)
                <= 1;
            if opening.is_answered && !is_chosen {
                flow.state = FlowState::Absent;
                return false;
            }
            flow.is_confirmed = opening.is_answered;
            flow.state = FlowState::Open;
            true
        }
    }
}
