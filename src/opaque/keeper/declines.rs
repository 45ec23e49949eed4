//! Openers that an agent could take and leaves to one that has less to do.
//!
//! Balancers choose by hash, and at a hundred backend servers each of many balancers hears a given one too seldom
//! to choose by its load. By chance alone the busiest of a hundred then stands at 1.3 to 1.5 of the mean, with
//! flows that carry some requests each. The agent knows its own load exactly, and its balancer the mean. The balancer
//! offers a declined opener to the next agent, since it knows which ones do not answer.

use std::net::Ipv4Addr;

use crate::decisions::offers::TAKES_NONE_MS;
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::keeper::{Keeper, Scene, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD_PERMILLE};
use crate::opaque::packets::segment::FlowKey;

/// How much more than the mean an agent must have to decline openers, as a part of the mean: below it, the way to
/// another agent costs the caller more than the difference does.
const MARGIN: f64 = 0.1;
/// The least of that margin, in thousandths of a slot: of two idle backend servers none is the lighter one.
const MIN_MARGIN_PERMILLE: f64 = 20.0;

/// The wait that an agent tells which has room and more to do than the mean, in milliseconds: more than the way to
/// another availability zone, so that flows that live for long don't stay in the one with more callers.
const ABOVE_MEAN_MS: u16 = 20;

/// Why an agent leaves an opener to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Declined {
    /// Its backend server has more to do than the mean.
    AboveMean,
    /// Its backend server has no slot free.
    Busy,
    /// Its backend server takes no new flow now.
    TakesNone,
}

impl Keeper {
    /// Tells whether an opener that could be taken should rather go to an agent with less to do.
    ///
    /// Only one whose caller has not waited goes on: each further agent is a risk and some milliseconds.
    pub(super) fn declines(
        &self,
        scene: &Scene<'_>,
        opening: &PendingOpener,
        message: &Message,
    ) -> bool {
        let is_fresh = opening.copy == 0 && opening.waited_ms == 0;
        let from_balancer = matches!(message.kind, MessageKind::Deliver | MessageKind::Offer);
        let may_decline = from_balancer && is_fresh;
        if !may_decline || message.load_permille == UNKNOWN_LOAD_PERMILLE {
            return false;
        }
        let mean = f64::from(message.load_permille);
        let most = mean + (MARGIN * mean).max(MIN_MARGIN_PERMILLE);
        let own = self.steady_permille(scene);
        own.is_some_and(|own| f64::from(own) > most)
    }

    /// Tells whether an opener that is offered would wait here for no longer than its balancer expects elsewhere.
    pub(super) fn is_wait_taken(&mut self, scene: &Scene<'_>, message: &Message) -> bool {
        self.expected_wait_ms(scene) <= message.max_wait_ms
    }

    /// Gives an opener back to its balancer.
    pub(super) fn decline(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        message: &Message,
        reason: Declined,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.openers_declined.inc();
        let wait_ms = match reason {
            Declined::AboveMean => ABOVE_MEAN_MS,
            Declined::Busy => self.expected_wait_ms(scene),
            Declined::TakesNone => TAKES_NONE_MS,
        };
        log::info!(
            "event=opener_declined flow={key} reason={reason:?} wait_ms={wait_ms} busy={} slots={} load_permille={} mean_permille={} revision={}",
            self.flows.busy_requests(),
            self.own_slots(scene).unwrap_or_default(),
            self.steady_permille(scene).unwrap_or(UNKNOWN_LOAD_PERMILLE),
            message.load_permille,
            scene.revision
        );
        // An offer is sent only where callers have deadlines, also if none is known here yet.
        let is_limited =
            message.kind == MessageKind::Offer || scene.directory.has_deadline(key.called);
        let wait_ms = is_limited.then_some(wait_ms);
        let kind = MessageKind::Declined;
        self.tell_with_load(scene, kind, key, message.host, wait_ms, actions);
    }

    /// Tells the balancer from which an opener was taken that it is held here.
    pub(super) fn say_taken(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if balancer.is_unspecified() {
            return;
        }
        let deadline = scene.directory.deadline(key.called);
        let wait_ms = deadline.map(|_| self.expected_wait_ms(scene));
        self.tell_with_load(scene, MessageKind::Holds, key, balancer, wait_ms, actions);
    }

    /// Tells something of a flow, and behind it how much the backend server has to do, and for how long a new flow
    /// would wait.
    fn tell_with_load(
        &self,
        scene: &Scene<'_>,
        kind: MessageKind,
        key: &FlowKey,
        to: Ipv4Addr,
        wait_ms: Option<u16>,
        actions: &mut Vec<Action>,
    ) {
        tell(kind, key, to, actions);
        if let Some(Action::ToPeer(_, message, payload)) = actions.last_mut() {
            message.host = self.identity.host;
            let mut permille = self.steady_permille(scene);
            if wait_ms.is_some() {
                permille.get_or_insert(UNKNOWN_LOAD_PERMILLE);
            }
            let words = permille.into_iter().chain(wait_ms);
            payload.extend(words.flat_map(u16::to_be_bytes));
        }
    }

    /// Returns the requests for each slot of the backend server over the last ten seconds, in thousandths, once
    /// that can be told.
    fn steady_permille(&self, scene: &Scene<'_>) -> Option<u16> {
        let slots = self.own_slots(scene)?;
        self.steady_load.permille_since_start(slots)
    }
}
