//! Openers: which the agent takes, and where the others go.

use crate::opaque::finding::flow_book::{EXPECTED_MS, EXPECTED_SOON_MS, Flow, Holding, Opening};
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
        let known = self.flows.get(&key).map(|flow| &flow.holding);
        if matches!(known, Some(Holding::Opening(_) | Holding::Open)) {
            say_holds(&key, message.host, self.identity.host, actions);
            actions.push(Action::ToBackend(packet.to_vec()));
            return;
        }
        if self.is_waiting_at(&key) {
            // A copy of an opener that waits is the same opener.
            say_holds(&key, message.host, self.identity.host, actions);
            return;
        }
        let deadline = scene.directory.deadline(key.called);
        let is_offer = message.kind == MessageKind::Offer;
        let hops = if is_offer { 0 } else { message.hops };
        let opening = Opening {
            since_ms: scene.now_ms,
            packet: packet.to_vec(),
            balancer: message.host,
            hops,
            copy: segment.acknowledgement,
            waited_ms: message.waited_ms,
            expected_ms: deadline.map_or(EXPECTED_MS, |_| EXPECTED_SOON_MS),
            answered: false,
            backend_sequence: 0,
        };
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
            Ok(()) if self.is_slow_for(scene, message) => {
                self.decline(scene, &key, message, Declined::Busy, actions);
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
                match self.let_wait(scene, &key, opening, &deadline, actions) {
                    Ok(()) => {}
                    Err(_) if is_offer => {
                        self.decline(scene, &key, message, Declined::Busy, actions);
                    }
                    Err(opening) => self.refuse(scene, &key, &opening, "no_time", actions),
                }
            }
            Err(reason) if is_offer => {
                let declined = match reason {
                    NotTaken::Crowded => Declined::Busy,
                    _ => Declined::TakesNone,
                };
                self.decline(scene, &key, message, declined, actions);
            }
            Err(reason) => {
                self.log_not_taken(scene, &key, &opening, &place, reason);
                let next = self.next_after(scene, &key, opening.hops, reason);
                if let Some(deadline) = deadline
                    && next.is_none()
                    && reason == NotTaken::ColdRate
                {
                    // The others were asked or are as cold, and here it has its turn at the rate.
                    if let Err(opening) = self.let_wait(scene, &key, opening, &deadline, actions) {
                        self.refuse(scene, &key, &opening, "no_time", actions);
                    }
                    return;
                }
                if message.kind == MessageKind::Deliver && !message.host.is_unspecified() {
                    tell(MessageKind::Absent, &key, message.host, actions);
                }
                self.hand_on_to(scene, &key, opening, next, actions);
            }
        }
    }

    fn log_not_taken(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &Opening,
        place: &OwnPlace,
        reason: NotTaken,
    ) {
        log::info!(
            "event=opener_not_taken flow={key} reason={reason:?} copy={} waited_ms={} hops={} busy={} limit={:.1} cold={} revision={}",
            opening.copy,
            opening.waited_ms,
            opening.hops,
            self.flows.busy(),
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
        opening: Opening,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.cold_rate.take();
        let packet = opening.packet.clone();
        log::info!(
            "event=opener_taken flow={key} copy={} waited_ms={} hops={} busy={} open={} revision={}",
            opening.copy,
            opening.waited_ms,
            opening.hops,
            self.flows.busy(),
            self.flows.open(),
            scene.revision
        );
        let flow = Flow::new(Holding::Opening(opening), scene.now_ms);
        if !self.remember(*key, flow, scene.now_ms) {
            return false;
        }
        self.metrics.openers_taken.inc();
        self.lookups.forget(key);
        self.pending.push(*key);
        actions.push(Action::ToBackend(packet));
        true
    }
}
