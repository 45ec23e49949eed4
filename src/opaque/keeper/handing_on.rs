//! Where openers go that an agent does not take.

use std::net::Ipv4Addr;

use crate::code::Code;
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::keeper::opener_limits::LAST_COPY;
use crate::opaque::keeper::openers::NotTaken;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::openers::opener_order::{next_host, next_warm_host};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind};
use crate::opaque::packets::segment::FlowKey;

/// By how many agents an opener may be passed on.
pub(super) const MAX_HOPS: usize = 8;
/// By how many agents it may be passed on for want of room: four draws find room where there is some,
/// and where there is none, each further hop costs the agents time that they don't have then.
const CROWDED_HOPS: usize = 3;

impl Keeper {
    /// Passes an opener to the agent after this one in the flow's order, if there is one left.
    ///
    /// Otherwise its caller sends another copy, for which there may be room; only of the last copy is
    /// it told that nobody takes it, since it has but few attempts.
    pub(super) fn hand_on(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        actions: &mut Vec<Action>,
    ) {
        let next = next_host(scene, self.identity.host, key, opening.hops, MAX_HOPS);
        self.hand_on_to(scene, key, opening, next, actions);
    }

    /// Returns the agent that is offered an opener which is not taken here for a reason.
    pub(super) fn next_after(
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

    pub(super) fn hand_on_to(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: PendingOpener,
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
