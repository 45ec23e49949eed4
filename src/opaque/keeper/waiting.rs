//! Openers that wait at their agent for a slot of its backend server.
//!
//! Only those whose callers have time for one attempt; the others are left to their callers' copies. See
//! docs/design/waiting-openers.md.

use crate::code::Code;
use crate::config::deadlines::{Deadline, UNANSWERED_ATTEMPT_MS};
use crate::decisions::service_time::wait_ms;
use crate::decisions::wait_queue::Waiting;
use crate::decisions::waiting::Prospect;
use crate::opaque::finding::flow_book::Opening;
use crate::opaque::keeper::{Keeper, Scene, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::FlowKey;

/// How many requests more than its slots a backend server is handed, for each slot: from an opener to its request a
/// round trip to the caller passes, for which the slot would stand idle.
const RESERVE_PER_SLOT: f64 = 1.0;
/// The longest wait that is told, in milliseconds; above it stands that no new flow is taken.
const MAX_TOLD_MS: u64 = 60_000;

const MS_PER_S: f64 = 1_000.0;

/// An opener that waits, and what is needed to hand it over.
#[derive(Debug, Clone)]
pub(super) struct WaitingOpener {
    key: FlowKey,
    opening: Opening,
}

impl Keeper {
    /// Returns the slots of the own backend server.
    pub(super) fn own_slots(&self, scene: &Scene<'_>) -> Option<u32> {
        let table = scene.directory.table(self.identity.service)?;
        Some(table.row_on(self.identity.host)?.slots)
    }

    /// Notes how many slots are occupied from now on.
    pub(super) fn note_slots(&mut self, scene: &Scene<'_>) {
        let slots = self.own_slots(scene).unwrap_or_default();
        self.slot_time
            .changed(self.flows.busy(), slots, scene.now_ms);
    }

    /// Tells whether the backend server has reason to refuse a request for want of room.
    pub(super) fn is_full(&self, scene: &Scene<'_>, key: &FlowKey) -> bool {
        let is_limited = scene.directory.deadline(key.called).is_some();
        let slots = self.own_slots(scene);
        is_limited && slots.is_some_and(|slots| self.flows.busy() >= slots)
    }

    /// Returns for how long a new flow would wait for a slot, in milliseconds.
    pub(super) fn expected_wait_ms(&mut self, scene: &Scene<'_>) -> u16 {
        let Some(slots) = self.own_slots(scene) else {
            return 0;
        };
        let busy = self.flows.busy_now(scene.now_ms);
        let there = busy + self.waiting.len() as u32;
        let ahead = (there + 1).saturating_sub(slots);
        let wait_ms = wait_ms(ahead, self.slot_time.service_ms(), slots);
        wait_ms.min(MAX_TOLD_MS) as u16
    }

    /// Returns from how many requests on a backend server is handed no further opener that has waited.
    pub(super) fn handed_at_most(slots: u32) -> f64 {
        f64::from(slots) * (1.0 + RESERVE_PER_SLOT)
    }

    /// Tells whether an opener waits here.
    pub(super) fn has_waiting(&self, key: &FlowKey) -> bool {
        self.waiting.iter().any(|waiting| waiting.item.key == *key)
    }

    /// Lets an opener wait for a slot, or refuses it at once where it would wait for nothing.
    pub(super) fn wait_or_refuse(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: Opening,
        deadline: &Deadline,
        actions: &mut Vec<Action>,
    ) {
        let balancer = opening.balancer;
        let waiting = waiting(scene, key, opening, deadline);
        let prospect = self.prospect(scene, &waiting, deadline);
        if !prospect.waits() || self.waiting.len() >= self.max_waiting(scene, deadline) {
            self.refuse(scene, &waiting.item, "no_time", actions);
            return;
        }
        self.metrics.openers_queued.inc();
        log::info!(
            "event=opener_queued flow={key} behind={} wait_ms={} due_ms={} busy={} slots={} revision={}",
            self.waiting.len(),
            prospect.wait_ms,
            waiting.due_ms.saturating_sub(scene.now_ms),
            self.flows.busy(),
            self.own_slots(scene).unwrap_or_default(),
            scene.revision
        );
        self.waiting.push(waiting);
        self.say_taken(scene, key, balancer, actions);
        self.serve_waiting(scene, actions);
    }

    /// Returns how many openers may wait: as many as can be served before a caller gives up.
    fn max_waiting(&self, scene: &Scene<'_>, deadline: &Deadline) -> usize {
        let slots = self.own_slots(scene).unwrap_or_default();
        let served = f64::from(deadline.timeout_ms) / self.slot_time.service_ms();
        (served * f64::from(slots)).ceil() as usize
    }

    fn prospect(
        &mut self,
        scene: &Scene<'_>,
        waiting: &Waiting<WaitingOpener>,
        deadline: &Deadline,
    ) -> Prospect {
        let slots = self.own_slots(scene).unwrap_or_default();
        let service_ms = self.slot_time.service_ms();
        let before = self.waiting.ahead_of(waiting, service_ms, scene.now_ms);
        let there = self.flows.busy_now(scene.now_ms) + before;
        let ahead = (there + 1).saturating_sub(slots);
        let oldest_ms = self.waiting.iter().map(|waiting| waiting.since_ms).min();
        let opening = &waiting.item.opening;
        Prospect {
            age_ms: opening.age_ms(),
            attempt_age_ms: opening.copy_age_ms(),
            wait_ms: wait_ms(ahead, service_ms, slots),
            service_ms,
            objective_ms: deadline.objective_ms,
            timeout_ms: deadline.timeout_ms,
            longest_wait_ms: oldest_ms.map_or(0, |oldest_ms| scene.now_ms - oldest_ms),
        }
    }

    /// Hands waiting openers to the backend server while it has room, and ends the wait of those whose callers
    /// would have left before they are served.
    pub(super) fn serve_waiting(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        if self.silent_since_ms.is_some() || self.admits_any(scene).is_err() {
            self.pass_on_waiting(scene, actions);
            return;
        }
        self.refuse_overdue(scene, actions);
        let slots = self.own_slots(scene).unwrap_or_default();
        while f64::from(self.flows.busy_now(scene.now_ms)) < Self::handed_at_most(slots) {
            if !self.has_cold_rate(scene) {
                break;
            }
            let service_ms = self.slot_time.service_ms();
            let Some(waiting) = self.waiting.pop(service_ms, scene.now_ms) else {
                break;
            };
            self.end_wait(scene, waiting, actions);
        }
        self.metrics.openers_waiting.set(self.waiting.len() as i64);
    }

    fn end_wait(
        &mut self,
        scene: &Scene<'_>,
        waiting: Waiting<WaitingOpener>,
        actions: &mut Vec<Action>,
    ) {
        let WaitingOpener { key, mut opening } = waiting.item;
        if scene.directory.service_of(&key) != Some(self.identity.service) {
            self.hand_on(scene, &key, opening, actions);
            return;
        }
        let waited_ms = scene.now_ms - waiting.since_ms;
        self.metrics
            .opener_wait_seconds
            .observe(waited_ms as f64 / MS_PER_S);
        log::info!(
            "event=opener_dequeued flow={key} waited_ms={waited_ms} busy={} slots={} service_ms={:.1}",
            self.flows.busy(),
            self.own_slots(scene).unwrap_or_default(),
            self.slot_time.service_ms()
        );
        opening.since_ms = scene.now_ms;
        self.take_opener(scene, &key, opening, actions);
    }

    /// Passes all openers that wait on to other agents, as where the backend server takes none any more.
    pub(super) fn pass_on_waiting(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        for waiting in self.waiting.take_if(|_| true) {
            let WaitingOpener { key, opening } = waiting.item;
            self.hand_on(scene, &key, opening, actions);
        }
        self.metrics.openers_waiting.set(0);
    }

    fn refuse_overdue(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        let overdue = self
            .waiting
            .take_if(|waiting| waiting.deadline_ms <= scene.now_ms);
        for waiting in overdue {
            self.refuse(scene, &waiting.item, "waited", actions);
        }
    }

    /// Tells a caller that its opener is not taken; no server has it.
    fn refuse(
        &self,
        scene: &Scene<'_>,
        refused: &WaitingOpener,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let WaitingOpener { key, opening } = refused;
        self.metrics.openers_refused.inc();
        let age_ms = opening.age_ms() + (scene.now_ms - opening.since_ms);
        log::info!(
            "event=opener_refused flow={key} reason={reason} waited_ms={} age_ms={age_ms} waiting={} busy={} slots={} code={} revision={}",
            scene.now_ms - opening.since_ms,
            self.waiting.len(),
            self.flows.busy(),
            self.own_slots(scene).unwrap_or_default(),
            Code::NoRoom.number(),
            scene.revision
        );
        if !opening.balancer.is_unspecified() {
            tell(MessageKind::Absent, key, opening.balancer, actions);
        }
        self.tell_attempt_failed(scene, key, age_ms, actions);
        self.reset(key, 0, Code::NoRoom, actions);
    }
}

/// Returns what waits for an opener that came now.
fn waiting(
    scene: &Scene<'_>,
    key: &FlowKey,
    opening: Opening,
    deadline: &Deadline,
) -> Waiting<WaitingOpener> {
    let route = scene.directory.routes().get(key.called);
    let timeout_ms = u64::from(deadline.timeout_ms).saturating_sub(opening.age_ms());
    let opens_ms = u64::from(UNANSWERED_ATTEMPT_MS).saturating_sub(opening.copy_age_ms());
    let objective_ms = u64::from(deadline.objective_ms).saturating_sub(opening.age_ms());
    Waiting {
        caller: u64::from(key.caller.ip().to_bits()),
        priority: route.map_or(0, |route| route.priority),
        since_ms: scene.now_ms,
        due_ms: scene.now_ms + objective_ms,
        deadline_ms: scene.now_ms + timeout_ms.min(opens_ms),
        item: WaitingOpener { key: *key, opening },
    }
}
