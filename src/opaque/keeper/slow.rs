//! What an agent does while its backend server works slower than usual.
//!
//! See docs/design/slow-servers.md.

use crate::code::Code;
use crate::decisions::service_time::wait_ms;
use crate::decisions::slow_server::SlowServer;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, OFFER_WAIT_UNIT_MS};
use crate::opaque::packets::segment::FlowKey;

/// How many flows are moved at most each time the agent looks: a server that is several times as slow keeps few of
/// its flows, and others take those that leave as they come.
const MOVES_A_LOOK: usize = 8;
/// The age at which a word of others' waits no longer counts, in milliseconds: at a crest an agent is offered
/// openers all the time.
const ELSEWHERE_MS: u64 = 1_000;

impl Keeper {
    /// Notes for how long an opener would wait at others, which its balancer says with each offer.
    pub(super) fn note_elsewhere(&mut self, message: &Message, now_ms: u64) {
        if message.kind == MessageKind::Offer {
            let wait_ms = u16::from(message.hops) * OFFER_WAIT_UNIT_MS;
            self.elsewhere = Some((wait_ms, now_ms));
        }
    }

    /// Returns by how much longer than usual the backend server takes for a request, in milliseconds.
    pub(super) fn extra_ms(&self, scene: &Scene<'_>) -> u64 {
        let slow = self.slow_server(scene);
        slow.map_or(0, |slow| slow.extra_ms() as u64)
    }

    /// Tells whether an opener that is offered would be answered sooner elsewhere, though a slot is free here.
    pub(super) fn is_slow_for(&mut self, scene: &Scene<'_>, message: &Message) -> bool {
        message.kind == MessageKind::Offer
            && self.extra_ms(scene) > 0
            && !self.is_wait_taken(scene, message)
    }

    /// Ends some flows without a request that are better off elsewhere.
    pub(super) fn move_from_slow(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        let slow = self.slow_server(scene);
        self.log_pace(scene, slow);
        let Some(slow) = slow.filter(|_| self.pace_watch.is_surely_slow(scene.now_ms)) else {
            return;
        };
        let is_better = |key: &FlowKey| {
            let deadline = scene.directory.deadline(key.called);
            deadline.is_some_and(|deadline| slow.moves_flows(deadline.objective_ms))
        };
        let ended = self.end_idle(MOVES_A_LOOK, is_better);
        if ended.is_empty() {
            return;
        }
        log::info!(
            "event=slow_flows_reset flows={} open={} busy={}",
            ended.len(),
            self.flows.open(),
            self.flows.busy()
        );
        for flow in ended {
            self.reset(&flow.key, flow.acknowledgement, Code::BackendSlow, actions);
        }
    }

    fn slow_server(&self, scene: &Scene<'_>) -> Option<SlowServer> {
        let slower = self.pace_watch.slower(scene.now_ms)?;
        let slots = self.own_slots(scene)?;
        let service_ms = self.slot_time.service_ms();
        let there = self.flows.busy() + self.waiting.len() as u32;
        let ahead = (there + 1).saturating_sub(slots);
        let elsewhere = self.elsewhere;
        let is_fresh = |heard_ms: u64| scene.now_ms < heard_ms + ELSEWHERE_MS;
        Some(SlowServer {
            slower,
            service_ms,
            wait_ms: wait_ms(ahead, service_ms, slots) as f64,
            elsewhere_ms: elsewhere.and_then(|(wait_ms, at_ms)| is_fresh(at_ms).then_some(wait_ms)),
        })
    }

    fn log_pace(&mut self, scene: &Scene<'_>, slow: Option<SlowServer>) {
        let was_slow = std::mem::replace(&mut self.is_slow, slow.is_some());
        match slow {
            Some(slow) if !was_slow => log::warn!(
                "event=backend_slow slower={:.1} service_ms={:.1} wait_ms={:.0} elsewhere_ms={:?} busy={} waiting={} open={} revision={}",
                slow.slower,
                slow.service_ms,
                slow.wait_ms,
                slow.elsewhere_ms,
                self.flows.busy(),
                self.waiting.len(),
                self.flows.open(),
                scene.revision
            ),
            None if was_slow => log::warn!(
                "event=backend_usual service_ms={:.1} busy={} open={}",
                self.slot_time.service_ms(),
                self.flows.busy(),
                self.flows.open()
            ),
            _ => {}
        }
    }
}
