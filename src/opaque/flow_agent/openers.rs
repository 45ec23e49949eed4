//! Handling of openers: taking, queueing, declining, refusing, or handing them on.

use crate::config::deadlines::Deadline;
use crate::opaque::flow_agent::declines::DeclineReason;
use crate::opaque::flow_agent::opener_limits::OpenerLimits;
use crate::opaque::flow_agent::{AgentContext, FlowAgent, send_holds, send_to_peer};
use crate::opaque::flows::flow::{
    DEADLINE_OPENER_BUSY_TIMEOUT_MS, Flow, FlowState, OPENER_BUSY_TIMEOUT_MS, PendingOpener,
};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

/// Why an agent does not take an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotTakenReason {
    /// The agent is stopping.
    Leaving,
    /// The process of the backend server has ended.
    BackendDown,
    /// The opener's route leads to another service.
    OtherService,
    /// The backend server is not published as taking new flows of this service.
    NotPublished,
    /// The availability zone is evacuated.
    Evacuated,
    /// The backend server is cold, and its rate of new flows is used up.
    ColdRate,
    /// The backend server did not answer the last opener.
    Silent,
    /// The backend server takes requests and serves none.
    Stalled,
    /// The backend server serves again after a stall, and its load is ramped up.
    Recovering,
    /// The backend server fails requests.
    Failing,
    /// The backend server has no room.
    Crowded,
    /// The sender of the opener knows a newer configuration, by which the opener may belong here.
    Behind,
}

impl FlowAgent {
    /// Handles an opener: takes it, queues it, or sends it elsewhere.
    pub(super) fn handle_opener(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.handle_known_opener(&key, packet, message, actions) {
            return;
        }
        let deadline = context.directory.deadline(key.called);
        let is_offer = message.kind == MessageKind::Offer;
        let opening = new_opening(context, segment, packet, message);
        let limits = self.opener_limits(context, &key, &opening, message.kind);
        let checked = self.check_opener(context, &key, &opening, &limits);
        let is_behind = message.digest.highest > context.revision;
        match checked {
            // If it were handed on by the older configuration, the opener could reach a service
            // that the newer one has removed from the route. The caller sends another copy, and the
            // newer configuration arrives soon.
            Err(NotTakenReason::OtherService) if is_behind && !is_offer => {
                self.log_not_taken(context, &key, &opening, &limits, NotTakenReason::Behind);
                self.metrics.openers_dropped.inc();
            }
            Ok(()) if self.should_decline(context, &opening, message) => {
                self.decline(context, &key, message, DeclineReason::AboveMean, actions);
            }
            Ok(()) => {
                let balancer = opening.balancer;
                if self.take_opener(context, &key, opening, actions) {
                    self.send_taken(context, &key, balancer, actions);
                }
            }
            Err(NotTakenReason::Crowded)
                if let Some(deadline) = deadline
                    && (!is_offer || self.is_wait_acceptable(context, message)) =>
            {
                self.queue_or_reject(context, &key, opening, &deadline, message, actions);
            }
            Err(reason) if is_offer => {
                let declined = match reason {
                    NotTakenReason::Crowded => DeclineReason::Busy,
                    _ => DeclineReason::TakesNone,
                };
                self.decline(context, &key, message, declined, actions);
            }
            // The other agents were tried or are as cold, so the opener waits here until the rate
            // of new flows admits it.
            Err(NotTakenReason::ColdRate)
                if let Some(deadline) = deadline
                    && self
                        .next_agent(context, &key, opening.hops, NotTakenReason::ColdRate)
                        .is_none() =>
            {
                self.queue_or_reject(context, &key, opening, &deadline, message, actions);
            }
            Err(reason) => {
                self.log_not_taken(context, &key, &opening, &limits, reason);
                if message.kind == MessageKind::Deliver && !message.host.is_unspecified() {
                    send_to_peer(MessageKind::Absent, &key, message.host, actions);
                }
                let next = self.next_agent(context, &key, opening.hops, reason);
                self.hand_on_to(context, &key, opening, next, actions);
            }
        }
    }

    /// Handles a copy of an opener that was already handed over or is queued. Returns whether it is
    /// one.
    fn handle_known_opener(
        &self,
        key: &FlowKey,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.flows.get(key).map(|flow| &flow.state);
        let is_handed_over = matches!(known, Some(FlowState::Opening(_) | FlowState::Open));
        if !is_handed_over && !self.has_queued(key) {
            return false;
        }
        send_holds(key, message.host, self.identity.host, actions);
        if is_handed_over {
            actions.push(Action::ToBackend(packet.to_vec()));
        }
        true
    }

    /// Queues an opener; if it should not wait here, declines it towards its balancer or refuses
    /// it.
    fn queue_or_reject(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        deadline: &Deadline,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        match self.enqueue_opener(context, key, opening, deadline, actions) {
            Ok(()) => {}
            Err(_) if message.kind == MessageKind::Offer => {
                self.decline(context, key, message, DeclineReason::Busy, actions);
            }
            Err(opening) => self.refuse_opener(context, key, &opening, "no_time", actions),
        }
    }

    fn log_not_taken(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        limits: &OpenerLimits,
        reason: NotTakenReason,
    ) {
        log::info!(
            "event=opener_not_taken flow={key} reason={reason:?} copy={} waited_ms={} hops={} busy={} limit={:.1} cold={} revision={}",
            opening.copy,
            opening.waited_ms,
            opening.hops,
            self.flows.busy_requests(),
            limits.max_busy.unwrap_or_default(),
            limits.is_cold,
            context.revision
        );
    }

    /// Hands an opener to the backend server. Returns whether there was room to record its flow.
    pub(super) fn take_opener(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.cold_rate.take_token();
        let packet = opening.packet.clone();
        log::info!(
            "event=opener_taken flow={key} copy={} waited_ms={} hops={} busy={} open={} revision={}",
            opening.copy,
            opening.waited_ms,
            opening.hops,
            self.flows.busy_requests(),
            self.flows.open_flows(),
            context.revision
        );
        let flow = Flow::new(FlowState::Opening(opening), context.now_ms);
        if !self.insert_flow(*key, flow, context.now_ms) {
            return false;
        }
        self.metrics.openers_taken.inc();
        self.lookups.cancel(key);
        self.pending_flows.push(*key);
        actions.push(Action::ToBackend(packet));
        true
    }
}

/// Creates the record of an opener that came with a message.
fn new_opening(
    context: &AgentContext<'_>,
    segment: &Segment,
    packet: &[u8],
    message: &Message,
) -> PendingOpener {
    let deadline = context.directory.deadline(segment.destination);
    PendingOpener {
        since_ms: context.now_ms,
        packet: packet.to_vec(),
        balancer: message.host,
        hops: message.hops,
        copy: segment.acknowledgement,
        waited_ms: message.waited_ms,
        busy_timeout_ms: deadline
            .map_or(OPENER_BUSY_TIMEOUT_MS, |_| DEADLINE_OPENER_BUSY_TIMEOUT_MS),
        is_answered: false,
        backend_sequence: 0,
    }
}
