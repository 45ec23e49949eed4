//! Openers: which the agent takes, and where the others go.

use crate::config::deadlines::Deadline;
use crate::opaque::flows::flow::{
    DEADLINE_OPENER_BUSY_TIMEOUT_MS, Flow, FlowState, OPENER_BUSY_TIMEOUT_MS, PendingOpener,
};
use crate::opaque::keeper::declines::Declined;
use crate::opaque::keeper::opener_limits::OwnPlace;
use crate::opaque::keeper::{Keeper, Scene, say_holds, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

/// Why an agent does not take an opener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotTaken {
    Leaving,
    BackendDown,
    OtherService,
    NotPublished,
    Evacuated,
    /// It is cold, and was handed as many new flows as it bears.
    ColdRate,
    Silent,
    /// The backend server takes requests and serves none.
    Stalled,
    /// It has just served again after a stall, and is filled up slowly.
    Recovering,
    Failing,
    Crowded,
    /// Who handed the opener over knows a newer configuration, by which it may belong here.
    Behind,
}

impl Keeper {
    /// Takes an opener, or passes it on.
    pub(super) fn opener(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.is_known_here(&key, packet, message, actions) {
            return;
        }
        let deadline = scene.directory.deadline(key.called);
        let is_offer = message.kind == MessageKind::Offer;
        let opening = opening_of(scene, segment, packet, message);
        let place = self.own_place(scene, &key, &opening, message.kind);
        let checked = self.check_opener(scene, &key, &opening, &place);
        let behind = message.digest.highest > scene.revision;
        match checked {
            // Handed on by the older configuration it would run at a service that the newer one has
            // taken off the route. Its caller sends a copy, and the newer one is on its way.
            Err(NotTaken::OtherService) if behind && !is_offer => {
                self.log_not_taken(scene, &key, &opening, &place, NotTaken::Behind);
                self.metrics.openers_dropped.inc();
            }
            Ok(()) if self.declines(scene, &opening, message) => {
                self.decline(scene, &key, message, Declined::AboveMean, actions);
            }
            Ok(()) => {
                let balancer = opening.balancer;
                if self.take_opener(scene, &key, opening, actions) {
                    self.say_taken(scene, &key, balancer, actions);
                }
            }
            Err(NotTaken::Crowded)
                if let Some(deadline) = deadline
                    && (!is_offer || self.is_wait_taken(scene, message)) =>
            {
                self.wait_or_give_back(scene, &key, opening, &deadline, message, actions);
            }
            Err(reason) if is_offer => {
                let declined = match reason {
                    NotTaken::Crowded => Declined::Busy,
                    _ => Declined::TakesNone,
                };
                self.decline(scene, &key, message, declined, actions);
            }
            // The others were asked or are as cold, and here it has its turn at the rate.
            Err(NotTaken::ColdRate)
                if let Some(deadline) = deadline
                    && self
                        .next_after(scene, &key, opening.hops, NotTaken::ColdRate)
                        .is_none() =>
            {
                self.wait_or_give_back(scene, &key, opening, &deadline, message, actions);
            }
            Err(reason) => {
                self.log_not_taken(scene, &key, &opening, &place, reason);
                if message.kind == MessageKind::Deliver && !message.host.is_unspecified() {
                    tell(MessageKind::Absent, &key, message.host, actions);
                }
                let next = self.next_after(scene, &key, opening.hops, reason);
                self.hand_on_to(scene, &key, opening, next, actions);
            }
        }
    }

    /// Takes a copy of an opener that the backend server has or that waits: it is the same opener.
    fn is_known_here(
        &self,
        key: &FlowKey,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        let known = self.flows.get(key).map(|flow| &flow.state);
        let is_handed_over = matches!(known, Some(FlowState::Opening(_) | FlowState::Open));
        if !is_handed_over && !self.is_waiting_at(key) {
            return false;
        }
        say_holds(key, message.host, self.identity.host, actions);
        if is_handed_over {
            actions.push(Action::ToBackend(packet.to_vec()));
        }
        true
    }

    /// Lets an opener wait here, or tells its balancer or its caller that it can't.
    fn wait_or_give_back(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        deadline: &Deadline,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        match self.let_wait(scene, key, opening, deadline, actions) {
            Ok(()) => {}
            Err(_) if message.kind == MessageKind::Offer => {
                self.decline(scene, key, message, Declined::Busy, actions);
            }
            Err(opening) => self.refuse(scene, key, &opening, "no_time", actions),
        }
    }

    fn log_not_taken(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        place: &OwnPlace,
        reason: NotTaken,
    ) {
        log::info!(
            "event=opener_not_taken flow={key} reason={reason:?} copy={} waited_ms={} hops={} busy={} limit={:.1} cold={} revision={}",
            opening.copy,
            opening.waited_ms,
            opening.hops,
            self.flows.busy_requests(),
            place.limit.unwrap_or_default(),
            place.is_cold,
            scene.revision
        );
    }

    /// Hands an opener to the backend server; says whether there was room to note its flow.
    pub(super) fn take_opener(
        &mut self,
        scene: &Scene<'_>,
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
            scene.revision
        );
        let flow = Flow::new(FlowState::Opening(opening), scene.now_ms);
        if !self.remember(*key, flow, scene.now_ms) {
            return false;
        }
        self.metrics.openers_taken.inc();
        self.lookups.cancel(key);
        self.pending.push(*key);
        actions.push(Action::ToBackend(packet));
        true
    }
}

/// Returns an opener as it came with a message.
fn opening_of(
    scene: &Scene<'_>,
    segment: &Segment,
    packet: &[u8],
    message: &Message,
) -> PendingOpener {
    let deadline = scene.directory.deadline(segment.destination);
    PendingOpener {
        since_ms: scene.now_ms,
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
