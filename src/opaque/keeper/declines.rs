//! Openers that an agent could take and leaves to one that has less to do.
//!
//! Balancers choose by hash, and at a hundred backend servers each of many balancers hears a given one too seldom
//! to choose by its load. By chance alone the busiest of a hundred then stands at 1.3 to 1.5 of the mean, with
//! flows that carry some requests each. The agent knows its own load exactly, and its balancer the mean. The balancer
//! offers a declined opener to the next agent, since it knows which ones do not answer.

use std::net::Ipv4Addr;

use crate::opaque::finding::flow_book::Opening;
use crate::opaque::keeper::{Keeper, Scene, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD};
use crate::opaque::packets::segment::FlowKey;

/// How much more than the mean an agent must have to decline openers, as a part of the mean: below it, the way to
/// another agent costs the caller more than the difference does.
const MARGIN: f64 = 0.1;
/// The least of that margin, in thousandths of a slot: of two idle backend servers none is the lighter one.
const MIN_MARGIN_PERMILLE: f64 = 20.0;

impl Keeper {
    /// Tells whether an opener that could be taken should rather go to an agent with less to do.
    ///
    /// Only one whose caller has not waited goes on: each further agent is a risk and some milliseconds.
    pub(super) fn declines(&self, scene: &Scene<'_>, opening: &Opening, message: &Message) -> bool {
        let is_fresh = opening.copy == 0 && opening.waited_ms == 0;
        let may_decline = message.kind == MessageKind::Deliver && is_fresh;
        if !may_decline || message.load_permille == UNKNOWN_LOAD {
            return false;
        }
        let mean = f64::from(message.load_permille);
        let most = mean + (MARGIN * mean).max(MIN_MARGIN_PERMILLE);
        let own = self.steady_permille(scene);
        own.is_some_and(|own| f64::from(own) > most)
    }

    /// Gives an opener back to its balancer.
    pub(super) fn decline(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.openers_declined.inc();
        log::info!(
            "event=opener_declined flow={key} load_permille={} mean_permille={} revision={}",
            self.steady_permille(scene).unwrap_or(UNKNOWN_LOAD),
            message.load_permille,
            scene.revision
        );
        self.tell_with_load(scene, MessageKind::Declined, key, message.host, actions);
    }

    /// Tells the balancer from which an opener was taken that it is held here.
    pub(super) fn say_taken(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if !balancer.is_unspecified() {
            self.tell_with_load(scene, MessageKind::Holds, key, balancer, actions);
        }
    }

    /// Tells something of a flow, and behind it how much the backend server has to do.
    fn tell_with_load(
        &self,
        scene: &Scene<'_>,
        kind: MessageKind,
        key: &FlowKey,
        to: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        tell(kind, key, to, actions);
        if let Some(Action::ToPeer(_, message, payload)) = actions.last_mut() {
            message.host = self.identity.host;
            let permille = self.steady_permille(scene);
            payload.extend(permille.iter().flat_map(|permille| permille.to_be_bytes()));
        }
    }

    /// Returns the requests for each slot of the backend server over the last ten seconds, in thousandths, once
    /// that can be told.
    fn steady_permille(&self, scene: &Scene<'_>) -> Option<u16> {
        let table = scene.directory.table(self.identity.service)?;
        let row = table.row_on(self.identity.host)?;
        self.steady_load.permille_since_begun(row.slots)
    }
}
