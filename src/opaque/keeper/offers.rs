//! Openers that an agent could take and offers to one that has less to do.
//!
//! Balancers choose by hash, and at a hundred backend servers each of many balancers hears a given one too seldom
//! to choose by its load. By chance alone the busiest of a hundred then stands at 1.3 to 1.5 of the mean, with
//! flows that carry some requests each. The agent knows its own load exactly, and its balancer the mean.

use std::net::Ipv4Addr;

use crate::opaque::finding::flow_book::Opening;
use crate::opaque::keeper::{Keeper, Scene, say_passed_on};
use crate::opaque::openers::opener_order::next_host;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD};
use crate::opaque::packets::segment::FlowKey;

/// How much more than the mean an agent must have to offer openers, as a part of the mean: below it, the way to
/// another agent costs the caller more than the difference does.
const MARGIN: f64 = 0.1;
/// The least of that margin, in thousandths of a slot: of two idle backend servers none is the lighter one.
const MIN_MARGIN_PERMILLE: f64 = 20.0;
/// To how many agents an opener is offered: of four in a row one almost always has less than the one before.
const MAX_OFFERS: usize = 3;

impl Keeper {
    /// Returns the agent to which an opener is offered, if its backend server should have it.
    ///
    /// Only an opener whose caller has not waited goes on: each further hop is a risk and some milliseconds.
    pub(super) fn lighter_agent(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &Opening,
        message: &Message,
    ) -> Option<Ipv4Addr> {
        let is_fresh = opening.copy == 0 && opening.waited_ms == 0;
        if !is_fresh || message.load_permille == UNKNOWN_LOAD {
            return None;
        }
        let others = f64::from(message.load_permille);
        let most = match message.kind {
            MessageKind::Deliver => others + (MARGIN * others).max(MIN_MARGIN_PERMILLE),
            MessageKind::Offer => others,
            _ => return None,
        };
        if f64::from(self.steady_permille(scene)?) <= most {
            return None;
        }
        next_host(scene, self.identity.host, key, opening.hops, MAX_OFFERS)
    }

    /// Offers an opener to an agent, which takes it if its backend server has no more to do than this one.
    pub(super) fn offer(
        &self,
        scene: &Scene<'_>,
        host: Ipv4Addr,
        key: &FlowKey,
        opening: Opening,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let own = self.steady_permille(scene).unwrap_or(UNKNOWN_LOAD);
        say_passed_on(key, message, actions);
        self.metrics.openers_offered.inc();
        log::info!(
            "event=opener_offered flow={key} host={host} hops={} load_permille={own} others_permille={} revision={}",
            opening.hops,
            message.load_permille,
            scene.revision
        );
        let mut offer = Message::new(MessageKind::Offer);
        offer.host = opening.balancer;
        offer.hops = opening.hops + 1;
        offer.load_permille = own;
        actions.push(Action::ToPeer(host, offer, opening.packet));
    }

    /// Returns the requests for each slot of the backend server over the last ten seconds, in thousandths, once
    /// that can be told.
    fn steady_permille(&self, scene: &Scene<'_>) -> Option<u16> {
        let table = scene.directory.table(self.identity.service)?;
        let row = table.row_on(self.identity.host)?;
        self.steady_load.permille_since_begun(row.slots)
    }

    /// Tells the balancer from which an opener was taken how much this backend server has to do, behind the word
    /// that it was taken.
    pub(super) fn tell_steady_load(&self, scene: &Scene<'_>, actions: &mut [Action]) {
        let told = actions.last_mut().zip(self.steady_permille(scene));
        if let Some((Action::ToPeer(_, message, payload), permille)) = told
            && message.kind == MessageKind::Holds
        {
            payload.extend_from_slice(&permille.to_be_bytes());
        }
    }
}
