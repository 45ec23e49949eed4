//! Packets of callers that open nothing: to the backend server, at once or once there is room, or to who holds the flow.

use std::net::Ipv4Addr;

use crate::config::deadlines::Deadline;
use crate::opaque::flows::flow::{
    Flow, FlowState, PacketSource, REQUEST_BUSY_TIMEOUT_MS, RunningRequest,
};
use crate::opaque::keeper::{Keeper, Scene, say_holds, tell_balancer};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

/// After how long a balancer that still does not know it is told again that a flow has opened, in milliseconds: the
/// packets that were on their way meanwhile need no answer each.
const TELL_OPENED_AGAIN_MS: u64 = 200;

/// What becomes of a caller's packet.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    /// Its flow is not held here.
    Elsewhere,
    /// It brings nothing new.
    Known,
    /// It begins a request that waits for a slot.
    Waits,
    /// It goes to the backend server.
    Handed,
}

impl Keeper {
    /// Takes any other packet of a caller.
    pub(super) fn packet(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let balancer = message.host;
        if self.deliver_held(scene, segment, packet, actions) {
            if !message.has_opened {
                self.say_opened(scene, &key, balancer, actions);
            }
            return;
        }
        let state = self.flows.get(&key).map(|flow| flow.state.clone());
        match state {
            Some(FlowState::Elsewhere(host)) if scene.directory.may_hold_flows(host) => {
                let now_ms = scene.now_ms;
                self.flows
                    .update(&key, now_ms, |flow| flow.last_seen_ms = now_ms);
                let message = Message::new(MessageKind::Deliver);
                say_holds(&key, balancer, host, actions);
                actions.push(Action::ToPeer(host, message, packet.to_vec()));
            }
            // What the backend server returns has ended, and nobody need be asked.
            _ if message.has_opened => {
                self.try_backend(
                    scene,
                    segment,
                    packet,
                    PacketSource::BalancerKnowsOpened,
                    actions,
                );
            }
            None if !self.knows_all => {
                self.try_backend(scene, segment, packet, PacketSource::Balancer, actions);
            }
            _ => self.look_up(scene, segment, packet, balancer, actions),
        }
    }

    /// Hands a packet to the backend server if the flow is known to be held there, at once or once there is room.
    pub(super) fn deliver_held(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> bool {
        let (key, now_ms) = (segment.flow_from_caller(), scene.now_ms);
        let request_id = self.wire.request_id;
        // What brings no data begins no request.
        let is_held_back = segment.payload_bytes > 0 && self.is_held_back(scene, &key);
        let deadline = scene.directory.deadline(key.called);
        let counts_ms = counts_ms(deadline);
        let delivery = self.flows.update(&key, now_ms, |flow| {
            let was_open = flow.state == FlowState::Open;
            if !chosen_here(flow, segment) {
                return Delivery::Elsewhere;
            }
            flow.last_seen_ms = now_ms;
            flow.caller_acknowledgement = segment.acknowledgement;
            flow.has_caller_left |= segment.ends_without_data() && flow.running.is_some();
            if segment.resets && deadline.is_some() {
                // Its caller has left, and the backend server need not answer any more.
                flow.running = None;
            }
            // A packet that is sent again is no request of its own, also when its answer has begun.
            if !flow.record_new_data(segment) {
                return Delivery::Known;
            }
            flow.has_ambiguous_requests |= flow.running.is_some();
            match &mut flow.running {
                Some(running) => running.since_ms = now_ms,
                None if is_held_back && was_open => return Delivery::Waits,
                None => {
                    flow.running = Some(RunningRequest::new(request_id(packet), counts_ms, now_ms))
                }
            }
            Delivery::Handed
        });
        match delivery.unwrap_or(Delivery::Elsewhere) {
            Delivery::Elsewhere => return false,
            Delivery::Waits => self.hold_back(scene, segment, packet, actions),
            Delivery::Known if self.takes_waiting(segment, packet) => {}
            Delivery::Known | Delivery::Handed => {
                let is_new = matches!(delivery, Some(Delivery::Handed));
                self.note_handed_over(scene, segment, is_new);
                actions.push(Action::ToBackend(packet.to_vec()));
            }
        }
        true
    }

    /// Tells a balancer that a flow has opened here, once that is certain, and again if it goes on without knowing.
    fn say_opened(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = scene.now_ms;
        let is_due = self.flows.update(key, now_ms, |flow| {
            let was_told = flow.last_opened_notice.is_some_and(|(told, told_ms)| {
                told == balancer && now_ms < told_ms + TELL_OPENED_AGAIN_MS
            });
            let is_due = flow.has_opened() && !was_told;
            if is_due {
                flow.last_opened_notice = Some((balancer, now_ms));
            }
            is_due
        });
        if is_due == Some(true) {
            let mut message = Message::new(MessageKind::Holds);
            message.host = self.identity.host;
            message.has_opened = true;
            tell_balancer(message, key, balancer, actions);
        }
    }

    /// Hands a packet of an unknown flow to the backend server, which returns it if it must.
    pub(super) fn try_backend(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        source: PacketSource,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let state = FlowState::Unconfirmed {
            since_ms: scene.now_ms,
            source,
        };
        let mut flow = Flow::new(state, scene.now_ms);
        flow.caller_acknowledgement = segment.acknowledgement;
        if self.remember(key, flow, scene.now_ms) {
            self.pending.push(key);
        }
        actions.push(Action::ToBackend(packet.to_vec()));
    }
}

/// Returns how long a request without an answer counts as work, in milliseconds: as long as its caller waits, where
/// that is told.
pub(super) fn counts_ms(deadline: Option<Deadline>) -> u64 {
    deadline.map_or(REQUEST_BUSY_TIMEOUT_MS, |deadline| {
        deadline.timeout_ms.into()
    })
}

/// Tells whether a caller's packet belongs to a flow that is held here, and opens it if so.
///
/// The caller opens a flow at the backend server whose number it acknowledges first.
fn chosen_here(flow: &mut Flow, segment: &Segment) -> bool {
    match &flow.state {
        FlowState::Open | FlowState::Unconfirmed { .. } => true,
        FlowState::Elsewhere(_) | FlowState::Absent => false,
        FlowState::Opening(opening) => {
            let chosen = segment
                .acknowledgement
                .wrapping_sub(opening.backend_sequence)
                <= 1;
            if opening.is_answered && !chosen {
                flow.state = FlowState::Absent;
                return false;
            }
            flow.is_confirmed = opening.is_answered;
            flow.state = FlowState::Open;
            true
        }
    }
}
