//! Openers: which the agent takes, and where the others go.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::config::deadlines::Deadline;
use crate::opaque::finding::flow_book::{EXPECTED_MS, EXPECTED_SOON_MS, Flow, Holding, Opening};
use crate::opaque::keeper::declines::Declined;
use crate::opaque::keeper::{Keeper, Scene, say_holds, tell};
use crate::opaque::openers::opener_order::{next_host, next_warm_host};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::{FlowKey, Segment};

/// How often a silent or failing backend server is tried with an opener, in milliseconds.
const PROBE_MS: u64 = 200;
/// How long the caller of each copy has waited since the first, in milliseconds.
const COPY_AGES_MS: [u64; 3] = [0, 200, 600];
/// The ages from which an opener is as good as a second and as a last copy, in milliseconds: about half way
/// between the ages of copies, since retries have any age.
const AGED_MS: [u64; 2] = [150, 450];
/// The requests for each slot, running or waiting, from which a backend server takes no opener, for the
/// three ages that are told apart.
///
/// With one waiting behind each running one, what is taken still ends within about two service times.
/// Later copies and retries come from callers that have waited most of their aim already, or more: while
/// there is not room for all, those that can still be served in time go first.
const CROWDED_PER_SLOT: [f64; 3] = [2.0, 1.5, 1.0];
/// The same for openers of a route that is more urgent than another one to the same service.
///
/// While there is not room for all, what is less urgent leaves these a second place behind each running
/// request, in which they still end within about three service times.
const URGENT_PER_SLOT: [f64; 3] = [3.0, 2.5, 1.0];
/// The requests for each slot from which a backend server that is slow after its start takes no opener.
///
/// It takes about 1.6 times as long for each; with the limits of a warm one, what it takes after a loss of
/// power of all ends late. Warm servers would lose by these: at 0.85 of their load 0.959 of the openers
/// were in time in the model, 0.983 with their own limits.
const COLD_PER_SLOT: [f64; 3] = [1.34, 1.0, 0.67];
/// The same for openers of a more urgent route.
const COLD_URGENT_PER_SLOT: [f64; 3] = [2.34, 1.67, 1.0];
/// By how many agents an opener may be passed on.
const MAX_HOPS: usize = 8;
/// By how many agents it may be passed on for want of room: four draws find room where there is some,
/// and where there is none, each further hop costs the agents time that they don't have then.
const CROWDED_HOPS: usize = 3;
/// After how many agents an opener is taken also by one whose backend server fails requests: the others
/// do no better then.
const FAILING_HOPS: u8 = 2;
/// The number of the last copy that a caller sends of an opener.
const LAST_COPY: u32 = 2;

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

/// What an agent knows of its own backend server when it decides about an opener.
#[derive(Debug, Clone, Copy)]
struct OwnPlace {
    /// Whether it is still slow after its start.
    is_cold: bool,
    /// The number of requests from which the opener is not taken; none where no table has it.
    limit: Option<f64>,
    /// How long its caller waits, where that is told.
    deadline: Option<Deadline>,
}

impl Opening {
    /// Returns for how long its caller has waited, in milliseconds.
    pub(super) fn age_ms(&self) -> u64 {
        self.copy_age_ms() + u64::from(self.waited_ms)
    }

    /// Returns for how long its caller has waited in this attempt, in milliseconds.
    pub(super) fn copy_age_ms(&self) -> u64 {
        let copy = self.copy.min(LAST_COPY) as usize;
        COPY_AGES_MS[copy]
    }

    /// Returns which of the three limits it has.
    fn age_step(&self) -> usize {
        AGED_MS.partition_point(|from_ms| *from_ms <= self.age_ms())
    }
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
            Err(NotTaken::OtherService) if behind => {
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
                if message.kind == MessageKind::Deliver && !message.host.is_unspecified() {
                    tell(MessageKind::Absent, &key, message.host, actions);
                }
                let next = self.next_after(scene, &key, opening.hops, reason);
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

    fn check_opener(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &Opening,
        place: &OwnPlace,
    ) -> Result<(), NotTaken> {
        self.is_running()?;
        if scene.directory.service_of(key) != Some(self.identity.service) {
            return Err(NotTaken::OtherService);
        }
        self.is_published(scene)?;
        if !self.has_cold_rate(scene) {
            return Err(NotTaken::ColdRate);
        }
        if self.silent_since_ms.is_some() {
            return self.probe(scene, NotTaken::Silent);
        }
        if self.is_stalled(scene.now_ms) && self.others_may_do_better(scene, key, opening) {
            if !self.may_probe_stalled(scene, key) {
                return Err(NotTaken::Stalled);
            }
            return self.probe(scene, NotTaken::Stalled);
        }
        if self.outcomes.is_failing(scene.now_ms) && self.others_may_do_better(scene, key, opening)
        {
            let routes = scene.directory.routes();
            if !routes.may_probe(key.called, self.identity.service) {
                return Err(NotTaken::Failing);
            }
            return self.probe(scene, NotTaken::Failing);
        }
        let busy = match place.deadline {
            Some(_) => self.flows.busy_now(scene.now_ms),
            None => self.flows.busy(),
        };
        if place.limit.is_some_and(|limit| f64::from(busy) >= limit) {
            return Err(NotTaken::Crowded);
        }
        if self.is_refilled(place.limit, scene.now_ms)
            && self.others_may_do_better(scene, key, opening)
        {
            return Err(NotTaken::Recovering);
        }
        Ok(())
    }

    /// Tells why no opener at all may be handed over now, whatever room there is.
    pub(super) fn admits_any(&self, scene: &Scene<'_>) -> Result<(), NotTaken> {
        self.is_running()?;
        self.is_published(scene)
    }

    fn is_running(&self) -> Result<(), NotTaken> {
        if self.leaving {
            return Err(NotTaken::Leaving);
        }
        if !self.backend_up {
            return Err(NotTaken::BackendDown);
        }
        Ok(())
    }

    fn is_published(&self, scene: &Scene<'_>) -> Result<(), NotTaken> {
        let published = scene.directory.own(self.identity.backend);
        let published = published.filter(|own| own.service == self.identity.service);
        if !published.is_some_and(|own| own.takes_flows) {
            return Err(NotTaken::NotPublished);
        }
        if published.is_some_and(|own| own.is_evacuated) {
            return Err(NotTaken::Evacuated);
        }
        Ok(())
    }

    /// Tells whether the backend server is warm, or may be handed one more flow while it is cold.
    pub(super) fn has_cold_rate(&mut self, scene: &Scene<'_>) -> bool {
        let flows_per_s = self.cold_flows_per_s(scene);
        flows_per_s.is_none_or(|flows_per_s| self.cold_rate.has_room(flows_per_s, scene.now_ms))
    }

    /// Tells whether an opener should rather go to an agent that has not been offered it.
    fn others_may_do_better(&self, scene: &Scene<'_>, key: &FlowKey, opening: &Opening) -> bool {
        let hops = opening.hops;
        let next = next_host(scene, self.identity.host, key, hops, MAX_HOPS);
        hops < FAILING_HOPS && next.is_some()
    }

    /// Lets an opener through now and then, to see whether the backend server works again.
    fn probe(&mut self, scene: &Scene<'_>, otherwise: NotTaken) -> Result<(), NotTaken> {
        if scene.now_ms < self.last_probe_ms + PROBE_MS {
            return Err(otherwise);
        }
        self.last_probe_ms = scene.now_ms;
        Ok(())
    }

    /// Looks the own backend server up, and how much it may have for an opener of this age.
    fn own_place(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &Opening,
        kind: MessageKind,
    ) -> OwnPlace {
        let is_cold = self.is_cold(scene);
        let service = self.identity.service;
        let routes = scene.directory.routes();
        let route = routes.get(key.called);
        let is_urgent = route.is_some_and(|route| routes.is_urgent(route, service));
        let per_slot = match (is_cold, is_urgent) {
            (false, false) => CROWDED_PER_SLOT,
            (false, true) => URGENT_PER_SLOT,
            (true, false) => COLD_PER_SLOT,
            (true, true) => COLD_URGENT_PER_SLOT,
        };
        let per_slot = per_slot[opening.age_step()];
        let deadline = scene.directory.deadline(key.called);
        let limit = |slots: u32| match (deadline, kind) {
            (Some(_), MessageKind::Offer) => f64::from(slots),
            (Some(deadline), _) => self.handed_at_most(slots, deadline.objective_ms, scene.now_ms),
            (None, _) => f64::from(slots) * per_slot,
        };
        OwnPlace {
            is_cold,
            limit: self.own_slots(scene).map(limit),
            deadline,
        }
    }

    /// Returns how many new flows the backend server bears a second, if it is cold or may be.
    fn cold_flows_per_s(&self, scene: &Scene<'_>) -> Option<f64> {
        let start = scene.directory.cold_start(self.identity.service)?;
        let maybe_since_ms = self.maybe_cold_since_ms;
        let may_be_cold =
            maybe_since_ms.is_some_and(|since_ms| scene.now_ms < since_ms + start.cold_ms);
        (may_be_cold || self.is_cold(scene)).then_some(start.flows_per_s)
    }

    /// Tells whether the backend server is published as slow after its start.
    fn is_cold(&self, scene: &Scene<'_>) -> bool {
        let published = scene.directory.own(self.identity.backend);
        published.is_some_and(|own| scene.now_ms < own.cold_until_ms)
    }

    /// Passes an opener to the agent after this one in the flow's order, if there is one left.
    ///
    /// Otherwise its caller sends another copy, for which there may be room; only of the last copy is
    /// it told that nobody takes it, since it has but few attempts.
    pub(super) fn hand_on(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: Opening,
        actions: &mut Vec<Action>,
    ) {
        let next = next_host(scene, self.identity.host, key, opening.hops, MAX_HOPS);
        self.hand_on_to(scene, key, opening, next, actions);
    }

    /// Returns the agent that is offered an opener which is not taken here for a reason.
    fn next_after(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        hops: u8,
        reason: NotTaken,
    ) -> Option<Ipv4Addr> {
        let own = self.identity.host;
        match reason {
            NotTaken::Crowded => next_host(scene, own, key, hops, CROWDED_HOPS),
            // A warm one takes it at once; where there is none, the others are as full as this one.
            NotTaken::ColdRate => next_warm_host(scene, own, key, hops, MAX_HOPS)
                .or_else(|| next_host(scene, own, key, hops, CROWDED_HOPS)),
            _ => next_host(scene, own, key, hops, MAX_HOPS),
        }
    }

    fn hand_on_to(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: Opening,
        next: Option<Ipv4Addr>,
        actions: &mut Vec<Action>,
    ) {
        match next {
            Some(host) => {
                let mut message = Message::new(MessageKind::HandOn);
                message.host = opening.balancer;
                message.hops = opening.hops + 1;
                message.waited_ms = opening.waited_ms;
                self.metrics.openers_handed_on.inc();
                actions.push(Action::ToPeer(host, message, opening.packet));
            }
            None if opening.copy >= LAST_COPY => {
                self.tell_attempt_failed(scene, key, opening.age_ms(), actions);
                self.reset(key, 0, Code::NoRoom, actions);
            }
            None => {
                self.metrics.openers_dropped.inc();
                log::info!(
                    "event=opener_dropped flow={key} copy={} hops={} revision={}",
                    opening.copy,
                    opening.hops,
                    scene.revision
                );
            }
        }
    }
}
