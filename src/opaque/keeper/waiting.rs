//! What waits at its agent for a slot of the backend server: openers, and requests on open flows.
//!
//! Openers wait only where callers have time for one attempt, and requests of other routes only while something else
//! waits. See docs/design/waiting-openers.md.

use crate::code::Code;
use crate::config::deadlines::{Deadline, UNANSWERED_ATTEMPT_MS};
use crate::decisions::service_time::wait_ms;
use crate::decisions::wait_queue::{Pace, WaitQueue, Waiting};
use crate::decisions::waiting::Prospect;
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::keeper::{Keeper, Scene, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::FlowKey;

/// For which part of the latency objective what is handed over may wait in the backend server's own queue: with
/// less, slots stand idle between an opener and its request; with more, what is urgent waits behind all.
const QUEUED_PART: f64 = 0.2;
/// For how long a refusal of the backend server tells how much it takes, in milliseconds: some rushes, and less than
/// it takes until its limits are changed.
const SHED_COUNTS_MS: u64 = 10_000;
/// How many latency objectives an opener may wait for: after that a new attempt has the better chance, while its
/// caller has time for one.
const MAX_OBJECTIVES: u64 = 2;
/// The longest wait that is told, in milliseconds; above it stands that no new flow is taken.
const MAX_TOLD_MS: u64 = 60_000;

const MS_PER_S: f64 = 1_000.0;

/// What waits for a slot, with what is needed to hand it over.
#[derive(Debug, Clone)]
pub(super) struct WaitingWork {
    pub(super) key: FlowKey,
    pub(super) kind: WorkKind,
}

#[derive(Debug, Clone)]
pub(super) enum WorkKind {
    /// A flow that has not opened.
    Opener(PendingOpener),
    /// The packets of a request on an open flow, in the order of their bytes.
    Request(Vec<Vec<u8>>),
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
            .changed(self.flows.busy_requests(), slots, scene.now_ms);
    }

    /// Tells whether the backend server has reason to refuse a request for want of room.
    pub(super) fn is_full(&self, scene: &Scene<'_>, key: &FlowKey) -> bool {
        let is_limited = scene.directory.has_deadline(key.called);
        let slots = self.own_slots(scene);
        is_limited && slots.is_some_and(|slots| self.flows.busy_requests() >= slots)
    }

    /// Returns for how long a new flow would wait for a slot, in milliseconds.
    pub(super) fn expected_wait_ms(&mut self, scene: &Scene<'_>) -> u16 {
        let Some(slots) = self.own_slots(scene) else {
            return 0;
        };
        let before = self.waiting.in_time(&self.pace(slots), scene.now_ms);
        self.wait_behind_ms(scene, slots, before).min(MAX_TOLD_MS) as u16
    }

    /// Returns for how long something waits for a slot that `before` others of those that wait go before.
    fn wait_behind_ms(&mut self, scene: &Scene<'_>, slots: u32, before: u32) -> u64 {
        let there = self.flows.fresh_busy_requests(scene.now_ms) + before;
        let ahead = (there + 1).saturating_sub(slots);
        wait_ms(ahead, self.slot_time.service_ms(), slots)
    }

    /// Returns from how many requests on a backend server is handed nothing that can wait.
    ///
    /// The least objective of those that wait counts for what comes as well: by a longer one of its own, each
    /// request would pass them.
    pub(super) fn handed_at_most(&self, slots: u32, objective_ms: u32, now_ms: u64) -> f64 {
        let least_ms = self.least_objective_ms();
        let objective_ms = least_ms.map_or(objective_ms, |least_ms| least_ms.min(objective_ms));
        let queued_ms = QUEUED_PART * f64::from(objective_ms);
        let most = f64::from(slots) * (1.0 + queued_ms / self.slot_time.service_ms());
        let refused_at = self.shed_at(now_ms).map_or(f64::INFINITY, f64::from);
        most.min(refused_at).max(f64::from(slots))
    }

    /// Returns at how many requests the backend server refused one lately for want of room.
    pub(super) fn shed_at(&self, now_ms: u64) -> Option<u32> {
        let (least, refused_ms) = self.shed_at?;
        (now_ms < refused_ms + SHED_COUNTS_MS).then_some(least)
    }

    /// Tells whether something waits that goes before an opener which can't wait here.
    pub(super) fn must_let_pass(&self, priority: u8) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|waiting| waiting.priority <= priority)
    }

    /// Returns the deadline by which a request may wait, or none where it goes at once.
    ///
    /// Without a deadline of its route it waits only while others do, for as long as an attempt without an answer lasts.
    pub(super) fn request_deadline(&self, scene: &Scene<'_>, key: &FlowKey) -> Option<Deadline> {
        let told = scene.directory.deadline(key.called);
        let untold = Deadline {
            address: key.called,
            objective_ms: UNANSWERED_ATTEMPT_MS,
            timeout_ms: UNANSWERED_ATTEMPT_MS,
        };
        told.or_else(|| (!self.waiting.is_empty()).then_some(untold))
    }

    /// Tells whether something of a flow waits here.
    pub(super) fn is_waiting_at(&self, key: &FlowKey) -> bool {
        has_flow(&self.waiting, key)
    }

    /// Lets an opener wait for a slot, or gives it back where it would wait for nothing.
    pub(super) fn let_wait(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        deadline: &Deadline,
        actions: &mut Vec<Action>,
    ) -> Result<(), PendingOpener> {
        let balancer = opening.balancer;
        let waiting = opener_of(scene, key, &opening, deadline);
        let prospect = self.prospect(scene, &waiting, &opening, deadline);
        if !prospect.waits() || !self.has_place(scene, deadline) {
            return Err(opening);
        }
        self.metrics.openers_queued.inc();
        log::info!(
            "event=opener_queued flow={key} behind={} wait_ms={} due_ms={} busy={} slots={} revision={}",
            self.waiting.len(),
            prospect.wait_ms,
            waiting.due_ms.saturating_sub(scene.now_ms),
            self.flows.busy_requests(),
            self.own_slots(scene).unwrap_or_default(),
            scene.revision
        );
        self.waiting.push(waiting);
        self.say_taken(scene, key, balancer, actions);
        self.serve_waiting(scene, actions);
        Ok(())
    }

    fn has_place(&self, scene: &Scene<'_>, deadline: &Deadline) -> bool {
        self.waiting.has_room() && self.waiting.len() < self.max_waiting(scene, deadline)
    }

    /// Returns how many may wait: as many as can be served before a caller gives up.
    fn max_waiting(&self, scene: &Scene<'_>, deadline: &Deadline) -> usize {
        let slots = self.own_slots(scene).unwrap_or_default();
        let served = f64::from(deadline.timeout_ms) / self.slot_time.service_ms();
        (served * f64::from(slots)).ceil() as usize
    }

    fn prospect(
        &mut self,
        scene: &Scene<'_>,
        waiting: &Waiting<WaitingWork>,
        opening: &PendingOpener,
        deadline: &Deadline,
    ) -> Prospect {
        let slots = self.own_slots(scene).unwrap_or_default();
        let service_ms = self.slot_time.service_ms();
        let pace = Pace {
            service_ms,
            slots,
            objective_ms: deadline.objective_ms,
        };
        let before = self.waiting.ahead_of(waiting, &pace, scene.now_ms);
        let wait_ms = self.wait_behind_ms(scene, slots, before);
        let oldest_ms = self.waiting.iter().map(|waiting| waiting.since_ms).min();
        Prospect {
            age_ms: opening.age_ms(),
            attempt_age_ms: opening.copy_age_ms(),
            wait_ms: wait_ms.max(self.cold_wait_ms(scene)),
            service_ms,
            objective_ms: deadline.objective_ms,
            timeout_ms: deadline.timeout_ms,
            longest_wait_ms: oldest_ms.map_or(0, |oldest_ms| scene.now_ms - oldest_ms),
        }
    }

    /// Returns for how long an opener waits for its turn at a backend server that takes few new flows while it is cold,
    /// in milliseconds.
    fn cold_wait_ms(&self, scene: &Scene<'_>) -> u64 {
        let is_opener =
            |waiting: &&Waiting<WaitingWork>| matches!(waiting.item.kind, WorkKind::Opener(_));
        let before = self.waiting.iter().filter(is_opener).count();
        let flows_per_s = self.cold_flows_per_s(scene);
        flows_per_s.map_or(0, |flows_per_s| self.cold_rate.wait_ms(flows_per_s, before))
    }

    /// Tells whether the backend server answers so little that nothing should wait for it: openers find others, and
    /// requests are refused at once when its own queue is full, so that their callers find others too.
    pub(super) fn is_stuck(&mut self, scene: &Scene<'_>) -> bool {
        self.note_slots(scene);
        let is_silent = self.silent_since_ms.is_some();
        is_silent || self.slot_time.is_stuck() || self.is_stalled(scene.now_ms)
    }

    /// Hands over what waits while the backend server has room, and ends the wait of what has waited long enough.
    pub(super) fn serve_waiting(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            self.metrics.openers_waiting.set(0);
            return;
        }
        // What waits behind a pause of this process is too late for others as well.
        self.end_overdue(scene, actions);
        if self.is_stuck(scene) || self.admits_any(scene).is_err() {
            self.pass_on_waiting(scene, actions);
            return;
        }
        let slots = self.own_slots(scene).unwrap_or_default();
        while self.has_room(scene, slots) {
            let pace = self.pace(slots);
            let may_open = self.has_cold_rate(scene);
            let may_go = |work: &WaitingWork| may_open || matches!(work.kind, WorkKind::Request(_));
            let Some(next) = self.waiting.pop_if(&pace, scene.now_ms, may_go) else {
                break;
            };
            self.end_wait(scene, next, actions);
        }
        self.metrics.openers_waiting.set(self.waiting.len() as i64);
    }

    /// Tells whether the backend server may be handed something that waits.
    fn has_room(&mut self, scene: &Scene<'_>, slots: u32) -> bool {
        let objective_ms = self.pace(slots).objective_ms;
        let busy = f64::from(self.flows.fresh_busy_requests(scene.now_ms));
        busy < self.handed_at_most(slots, objective_ms, scene.now_ms)
    }

    fn end_wait(
        &mut self,
        scene: &Scene<'_>,
        waiting: Waiting<WaitingWork>,
        actions: &mut Vec<Action>,
    ) {
        let WaitingWork { key, kind } = waiting.item;
        let waited_ms = scene.now_ms - waiting.since_ms;
        self.metrics
            .opener_wait_seconds
            .observe(waited_ms as f64 / MS_PER_S);
        match kind {
            WorkKind::Request(packets) => {
                self.hand_request(scene, &key, packets, waited_ms, actions);
            }
            WorkKind::Opener(opening)
                if scene.directory.service_for_flow(&key) != Some(self.identity.service) =>
            {
                self.hand_on(scene, &key, aged(opening, waited_ms), actions);
            }
            WorkKind::Opener(mut opening) => {
                log::info!(
                    "event=opener_dequeued flow={key} waited_ms={waited_ms} busy={} slots={} service_ms={:.1}",
                    self.flows.busy_requests(),
                    self.own_slots(scene).unwrap_or_default(),
                    self.slot_time.service_ms()
                );
                opening.since_ms = scene.now_ms;
                let passed_on = opening.clone();
                if !self.take_opener(scene, &key, opening, actions) {
                    self.hand_on(scene, &key, aged(passed_on, waited_ms), actions);
                }
            }
        }
    }

    fn pace(&self, slots: u32) -> Pace {
        Pace {
            service_ms: self.slot_time.service_ms(),
            slots,
            objective_ms: self.least_objective_ms().unwrap_or_default(),
        }
    }

    /// Returns the least latency objective of those that wait, in milliseconds.
    fn least_objective_ms(&self) -> Option<u32> {
        let objectives = self.waiting.iter().map(|waiting| waiting.objective_ms);
        objectives.min()
    }

    /// Passes all openers that wait on to other agents, and hands all requests over, as where the process stops or
    /// the backend server takes nothing new.
    pub(super) fn pass_on_waiting(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        for waiting in self.waiting.take_if(|_| true) {
            let WaitingWork { key, kind } = waiting.item;
            let waited_ms = scene.now_ms - waiting.since_ms;
            match kind {
                WorkKind::Opener(opening) => {
                    self.hand_on(scene, &key, aged(opening, waited_ms), actions);
                }
                WorkKind::Request(packets) => {
                    self.hand_request(scene, &key, packets, waited_ms, actions);
                }
            }
        }
        self.metrics.openers_waiting.set(0);
    }

    /// Refuses openers whose callers would have left before they are served, and drops requests whose callers have: a
    /// caller that still waits sends them again. A request of a caller whose deadline is not known has waited enough.
    fn end_overdue(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        let is_overdue = |waiting: &Waiting<WaitingWork>| waiting.deadline_ms <= scene.now_ms;
        for waiting in self.waiting.take_if(is_overdue) {
            let WaitingWork { key, kind } = waiting.item;
            match kind {
                WorkKind::Opener(opening) => {
                    self.refuse(scene, &key, &opening, "waited", actions);
                }
                WorkKind::Request(packets) if !scene.directory.has_deadline(key.called) => {
                    let waited_ms = scene.now_ms - waiting.since_ms;
                    self.hand_request(scene, &key, packets, waited_ms, actions);
                }
                WorkKind::Request(_) => {
                    self.metrics.requests_given_up.inc();
                    let waited_ms = scene.now_ms - waiting.since_ms;
                    log::info!("event=request_given_up flow={key} waited_ms={waited_ms}");
                }
            }
        }
    }

    /// Tells a caller that its opener is not taken; no server has it.
    pub(super) fn refuse(
        &self,
        scene: &Scene<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.openers_refused.inc();
        let waited_ms = scene.now_ms - opening.since_ms;
        let age_ms = opening.age_ms() + waited_ms;
        log::info!(
            "event=opener_refused flow={key} reason={reason} waited_ms={waited_ms} age_ms={age_ms} waiting={} busy={} slots={} code={} revision={}",
            self.waiting.len(),
            self.flows.busy_requests(),
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

/// Tells whether something of a flow waits in a queue.
pub(super) fn has_flow(queue: &WaitQueue<WaitingWork>, key: &FlowKey) -> bool {
    queue.iter().any(|waiting| waiting.item.key == *key)
}

/// Returns an opener that has waited here, as others should see it.
fn aged(mut opening: PendingOpener, waited_ms: u64) -> PendingOpener {
    let waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
    opening.waited_ms = opening.waited_ms.saturating_add(waited_ms);
    opening
}

/// Returns how an opener waits that came now.
fn opener_of(
    scene: &Scene<'_>,
    key: &FlowKey,
    opening: &PendingOpener,
    deadline: &Deadline,
) -> Waiting<WaitingWork> {
    let age_ms = opening.age_ms();
    let opens_ms = u64::from(UNANSWERED_ATTEMPT_MS).saturating_sub(opening.copy_age_ms());
    let left_ms = u64::from(deadline.timeout_ms).saturating_sub(age_ms);
    let opens_ms = opens_ms.min(MAX_OBJECTIVES * u64::from(deadline.objective_ms));
    let work = WaitingWork {
        key: *key,
        kind: WorkKind::Opener(opening.clone()),
    };
    waiting_of(scene, work, age_ms, left_ms.min(opens_ms), deadline)
}

/// Returns how something waits whose caller has waited for `age_ms` and may wait for `left_ms`.
pub(super) fn waiting_of(
    scene: &Scene<'_>,
    work: WaitingWork,
    age_ms: u64,
    left_ms: u64,
    deadline: &Deadline,
) -> Waiting<WaitingWork> {
    let route = scene.directory.routes().get(work.key.called);
    let objective_ms = u64::from(deadline.objective_ms).saturating_sub(age_ms);
    Waiting {
        caller: u64::from(work.key.caller.ip().to_bits()),
        priority: route.map_or(0, |route| route.priority),
        since_ms: scene.now_ms,
        due_ms: scene.now_ms + objective_ms,
        objective_ms: deadline.objective_ms,
        deadline_ms: scene.now_ms + left_ms,
        item: work,
    }
}
