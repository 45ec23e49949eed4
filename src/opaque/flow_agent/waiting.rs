//! The agent's queue of openers and of requests on open flows that wait for a slot of the backend
//! server.
//!
//! Openers wait only on routes whose callers have time for one attempt. Requests of other routes
//! wait only while the queue is not empty. See docs/design/waiting-openers.md.

use crate::code::Code;
use crate::config::deadlines::{Deadline, UNANSWERED_ATTEMPT_TIMEOUT_MS};
use crate::decisions::service_time::wait_ms;
use crate::decisions::wait_estimate::WaitEstimate;
use crate::decisions::wait_queue::{QueueParams, QueuedItem, WaitQueue};
use crate::opaque::flow_agent::{AgentContext, FlowAgent, send_to_peer};
use crate::opaque::flows::flow::PendingOpener;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::FlowKey;

/// The share of the latency objective that requests may wait in the backend server's own queue.
/// With less, slots are idle between an opener and its request; with more, urgent requests wait
/// there behind all others.
const BACKEND_QUEUE_SHARE: f64 = 0.2;
/// How long a refusal by the backend server limits the requests that are handed over to it, in
/// milliseconds: longer than several rushes, and shorter than the time between changes of the
/// server's limits.
const SHED_EXPIRY_MS: u64 = 10_000;
/// The maximum wait of an opener, in latency objectives. After that a new attempt has better
/// chances, while the caller still has time for one.
const MAX_WAIT_OBJECTIVES: u64 = 2;
/// The longest wait that is reported to balancers, in milliseconds. The higher value
/// [`TAKES_NONE_WAIT_MS`] means that no new flow is taken.
const MAX_REPORTED_WAIT_MS: u64 = 60_000;

const MS_PER_S: f64 = 1_000.0;

/// An opener or a request that waits for a slot.
#[derive(Debug, Clone)]
pub(super) struct QueuedWork {
    pub(super) key: FlowKey,
    pub(super) kind: QueuedKind,
}

#[derive(Debug, Clone)]
pub(super) enum QueuedKind {
    /// The opener of a flow that is not open yet.
    Opener(PendingOpener),
    /// The packets of a request on an open flow, in the order of their sequence numbers.
    Request(Vec<Vec<u8>>),
}

impl FlowAgent {
    /// Returns the slots of the agent's backend server, if its service's table lists it.
    pub(super) fn backend_slots(&self, context: &AgentContext<'_>) -> Option<u32> {
        let table = context.directory.table(self.identity.service)?;
        Some(table.row_on(self.identity.host)?.slots)
    }

    /// Updates the measurement of the service time by the number of slots that are occupied from
    /// now on.
    pub(super) fn update_slot_time(&mut self, context: &AgentContext<'_>) {
        let slots = self.backend_slots(context).unwrap_or_default();
        self.service_time
            .set_occupied(self.flows.busy_requests(), slots, context.now_ms);
    }

    /// Returns whether the backend server may refuse a request for lack of room: the route has a
    /// deadline, and all slots are busy.
    pub(super) fn may_shed(&self, context: &AgentContext<'_>, key: &FlowKey) -> bool {
        let has_deadline = context.directory.has_deadline(key.called);
        let slots = self.backend_slots(context);
        has_deadline && slots.is_some_and(|slots| self.flows.busy_requests() >= slots)
    }

    /// Returns how long a new flow would wait for a slot, in milliseconds.
    pub(super) fn expected_wait_ms(&mut self, context: &AgentContext<'_>) -> u16 {
        let Some(slots) = self.backend_slots(context) else {
            return 0;
        };
        let queued_ahead = self
            .wait_queue
            .count_in_time(&self.queue_params(slots), context.now_ms);
        self.wait_behind_ms(context, slots, queued_ahead)
            .min(MAX_REPORTED_WAIT_MS) as u16
    }

    /// Returns how long an entry with `queued_ahead` queued entries ahead of it waits for a slot,
    /// in milliseconds.
    fn wait_behind_ms(&mut self, context: &AgentContext<'_>, slots: u32, queued_ahead: u32) -> u64 {
        let total = self.flows.fresh_busy_requests(context.now_ms) + queued_ahead;
        let ahead = (total + 1).saturating_sub(slots);
        wait_ms(ahead, self.service_time.service_ms(), slots)
    }

    /// Returns the number of busy requests from which openers and requests that can wait are no
    /// longer handed over to the backend server.
    ///
    /// The shortest objective in the queue also limits new requests. Otherwise new requests with a
    /// longer objective would overtake the queue.
    pub(super) fn max_handed_over(&self, slots: u32, objective_ms: u32, now_ms: u64) -> f64 {
        let least_ms = self.min_objective_ms();
        let objective_ms = least_ms.map_or(objective_ms, |least_ms| least_ms.min(objective_ms));
        let queued_ms = BACKEND_QUEUE_SHARE * f64::from(objective_ms);
        let by_objective = f64::from(slots) * (1.0 + queued_ms / self.service_time.service_ms());
        let refused_at = self
            .recent_min_busy_at_shed(now_ms)
            .map_or(f64::INFINITY, f64::from);
        by_objective.min(refused_at).max(f64::from(slots))
    }

    /// Returns the fewest busy requests at which the backend server recently refused one for lack
    /// of room.
    pub(super) fn recent_min_busy_at_shed(&self, now_ms: u64) -> Option<u32> {
        let (least, refused_ms) = self.min_busy_at_shed?;
        (now_ms < refused_ms + SHED_EXPIRY_MS).then_some(least)
    }

    /// Returns whether an opener of this priority, which can't wait here, must leave room for
    /// queued work of the same or a more urgent priority.
    pub(super) fn must_yield(&self, priority: u8) -> bool {
        let mut waiting = self.wait_queue.iter();
        waiting.any(|waiting| waiting.priority <= priority)
    }

    /// Returns the deadline up to which a request may wait, or none if it is handed over at once.
    ///
    /// If its route has no deadline, the request waits only while the queue is not empty, for at
    /// most the duration of an unanswered attempt.
    pub(super) fn request_deadline(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
    ) -> Option<Deadline> {
        let published = context.directory.deadline(key.called);
        let fallback = Deadline {
            address: key.called,
            objective_ms: UNANSWERED_ATTEMPT_TIMEOUT_MS,
            timeout_ms: UNANSWERED_ATTEMPT_TIMEOUT_MS,
        };
        published.or_else(|| (!self.wait_queue.is_empty()).then_some(fallback))
    }

    /// Returns whether an opener or request of a flow is queued.
    pub(super) fn has_queued(&self, key: &FlowKey) -> bool {
        has_queued_flow(&self.wait_queue, key)
    }

    /// Queues an opener, or returns it if waiting here is not worthwhile.
    pub(super) fn enqueue_opener(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: PendingOpener,
        deadline: &Deadline,
        actions: &mut Vec<Action>,
    ) -> Result<(), PendingOpener> {
        let balancer = opening.balancer;
        let waiting = queued_opener(context, key, &opening, deadline);
        let wait_estimate = self.wait_estimate(context, &waiting, &opening, deadline);
        if !wait_estimate.should_wait() || !self.has_queue_room(context, deadline) {
            return Err(opening);
        }
        self.metrics.openers_queued.inc();
        log::info!(
            "event=opener_queued flow={key} behind={} wait_ms={} due_ms={} busy={} slots={} revision={}",
            self.wait_queue.len(),
            wait_estimate.wait_ms,
            waiting.due_ms.saturating_sub(context.now_ms),
            self.flows.busy_requests(),
            self.backend_slots(context).unwrap_or_default(),
            context.revision
        );
        self.wait_queue.push(waiting);
        self.send_taken(context, key, balancer, actions);
        self.serve_queue(context, actions);
        Ok(())
    }

    fn has_queue_room(&self, context: &AgentContext<'_>, deadline: &Deadline) -> bool {
        self.wait_queue.has_room()
            && self.wait_queue.len() < self.max_queue_length(context, deadline)
    }

    /// Returns the maximum length of the queue: as many entries as can be served before a caller's
    /// timeout.
    fn max_queue_length(&self, context: &AgentContext<'_>, deadline: &Deadline) -> usize {
        let slots = self.backend_slots(context).unwrap_or_default();
        let served = f64::from(deadline.timeout_ms) / self.service_time.service_ms();
        (served * f64::from(slots)).ceil() as usize
    }

    /// Returns the estimate by which an opener is queued or refused: its expected wait here, its
    /// age and its deadline.
    fn wait_estimate(
        &mut self,
        context: &AgentContext<'_>,
        waiting: &QueuedItem<QueuedWork>,
        opening: &PendingOpener,
        deadline: &Deadline,
    ) -> WaitEstimate {
        let slots = self.backend_slots(context).unwrap_or_default();
        let service_ms = self.service_time.service_ms();
        let params = QueueParams {
            service_ms,
            slots,
            objective_ms: deadline.objective_ms,
        };
        let queued_ahead = self
            .wait_queue
            .count_ahead_of(waiting, &params, context.now_ms);
        let wait_ms = self.wait_behind_ms(context, slots, queued_ahead);
        let oldest_ms = self.wait_queue.iter().map(|waiting| waiting.since_ms).min();
        WaitEstimate {
            age_ms: opening.age_ms(),
            attempt_age_ms: opening.copy_age_ms(),
            wait_ms: wait_ms.max(self.cold_wait_ms(context)),
            service_ms,
            objective_ms: deadline.objective_ms,
            timeout_ms: deadline.timeout_ms,
            longest_wait_ms: oldest_ms.map_or(0, |oldest_ms| context.now_ms - oldest_ms),
        }
    }

    /// Returns how long an opener waits for its turn at the rate of new flows of a cold backend
    /// server, in milliseconds; 0 if the backend server is warm.
    fn cold_wait_ms(&self, context: &AgentContext<'_>) -> u64 {
        let is_opener =
            |waiting: &&QueuedItem<QueuedWork>| matches!(waiting.item.kind, QueuedKind::Opener(_));
        let openers_ahead = self.wait_queue.iter().filter(is_opener).count();
        let flows_per_s = self.cold_flows_per_s(context);
        flows_per_s.map_or(0, |flows_per_s| {
            self.cold_rate.wait_ms(flows_per_s, openers_ahead)
        })
    }

    /// Returns whether the backend server answers so little that nothing should wait for it.
    /// Openers go to other servers, and requests are refused at once when the server's own queue is
    /// full, so that their callers go elsewhere too.
    pub(super) fn is_stuck(&mut self, context: &AgentContext<'_>) -> bool {
        self.update_slot_time(context);
        let is_silent = self.silent_since_ms.is_some();
        is_silent || self.service_time.is_stuck() || self.is_stalled(context.now_ms)
    }

    /// Hands queued openers and requests over while the backend server has room, and removes
    /// expired ones.
    pub(super) fn serve_queue(&mut self, context: &AgentContext<'_>, actions: &mut Vec<Action>) {
        if self.wait_queue.is_empty() {
            self.metrics.openers_waiting.set(0);
            return;
        }
        // After a pause of this process, expired entries are too late for other agents as well.
        self.remove_expired(context, actions);
        if self.is_stuck(context) || self.check_takes_new_flows(context).is_err() {
            self.flush_queue(context, actions);
            return;
        }
        let slots = self.backend_slots(context).unwrap_or_default();
        while self.has_backend_room(context, slots) {
            let params = self.queue_params(slots);
            let may_open = self.has_cold_rate_room(context);
            let is_allowed =
                |work: &QueuedWork| may_open || matches!(work.kind, QueuedKind::Request(_));
            let Some(next) = self.wait_queue.pop_if(&params, context.now_ms, is_allowed) else {
                break;
            };
            self.hand_over_dequeued(context, next, actions);
        }
        self.metrics
            .openers_waiting
            .set(self.wait_queue.len() as i64);
    }

    /// Returns whether the backend server may be handed the next entry of the queue.
    fn has_backend_room(&mut self, context: &AgentContext<'_>, slots: u32) -> bool {
        let objective_ms = self.queue_params(slots).objective_ms;
        let busy = f64::from(self.flows.fresh_busy_requests(context.now_ms));
        busy < self.max_handed_over(slots, objective_ms, context.now_ms)
    }

    /// Hands an entry taken from the queue over to the backend server, or hands its opener on if it
    /// can't be taken here.
    fn hand_over_dequeued(
        &mut self,
        context: &AgentContext<'_>,
        waiting: QueuedItem<QueuedWork>,
        actions: &mut Vec<Action>,
    ) {
        let QueuedWork { key, kind } = waiting.item;
        let waited_ms = context.now_ms - waiting.since_ms;
        self.metrics
            .opener_wait_seconds
            .observe(waited_ms as f64 / MS_PER_S);
        match kind {
            QueuedKind::Request(packets) => {
                self.hand_over_request(context, &key, packets, waited_ms, actions);
            }
            QueuedKind::Opener(opening)
                if context.directory.service_for_flow(&key) != Some(self.identity.service) =>
            {
                self.hand_on(context, &key, with_added_wait(opening, waited_ms), actions);
            }
            QueuedKind::Opener(mut opening) => {
                log::info!(
                    "event=opener_dequeued flow={key} waited_ms={waited_ms} busy={} slots={} service_ms={:.1}",
                    self.flows.busy_requests(),
                    self.backend_slots(context).unwrap_or_default(),
                    self.service_time.service_ms()
                );
                opening.since_ms = context.now_ms;
                let handed_on = opening.clone();
                if !self.take_opener(context, &key, opening, actions) {
                    self.hand_on(
                        context,
                        &key,
                        with_added_wait(handed_on, waited_ms),
                        actions,
                    );
                }
            }
        }
    }

    fn queue_params(&self, slots: u32) -> QueueParams {
        QueueParams {
            service_ms: self.service_time.service_ms(),
            slots,
            objective_ms: self.min_objective_ms().unwrap_or_default(),
        }
    }

    /// Returns the shortest latency objective in the queue, in milliseconds.
    fn min_objective_ms(&self) -> Option<u32> {
        let objectives = self.wait_queue.iter().map(|waiting| waiting.objective_ms);
        objectives.min()
    }

    /// Empties the queue, because the process stops or the backend server is stuck or takes no new
    /// flows: hands all openers on to other agents, and all requests over to the backend server.
    pub(super) fn flush_queue(&mut self, context: &AgentContext<'_>, actions: &mut Vec<Action>) {
        for waiting in self.wait_queue.take_if(|_| true) {
            let QueuedWork { key, kind } = waiting.item;
            let waited_ms = context.now_ms - waiting.since_ms;
            match kind {
                QueuedKind::Opener(opening) => {
                    self.hand_on(context, &key, with_added_wait(opening, waited_ms), actions);
                }
                QueuedKind::Request(packets) => {
                    self.hand_over_request(context, &key, packets, waited_ms, actions);
                }
            }
        }
        self.metrics.openers_waiting.set(0);
    }

    /// Removes expired entries from the queue. Openers are refused, since they would be served only
    /// after their callers have left. Requests of routes with a deadline are dropped, since their
    /// callers have left; a caller that still waits sends the request again. Other requests have
    /// waited long enough and are handed over.
    fn remove_expired(&mut self, context: &AgentContext<'_>, actions: &mut Vec<Action>) {
        let is_expired = |waiting: &QueuedItem<QueuedWork>| waiting.deadline_ms <= context.now_ms;
        for waiting in self.wait_queue.take_if(is_expired) {
            let QueuedWork { key, kind } = waiting.item;
            match kind {
                QueuedKind::Opener(opening) => {
                    self.refuse_opener(context, &key, &opening, "waited", actions);
                }
                QueuedKind::Request(packets) if !context.directory.has_deadline(key.called) => {
                    let waited_ms = context.now_ms - waiting.since_ms;
                    self.hand_over_request(context, &key, packets, waited_ms, actions);
                }
                QueuedKind::Request(_) => {
                    self.metrics.requests_given_up.inc();
                    let waited_ms = context.now_ms - waiting.since_ms;
                    log::info!("event=request_given_up flow={key} waited_ms={waited_ms}");
                }
            }
        }
    }

    /// Refuses an opener by a reset to its caller. No backend server has the opener.
    pub(super) fn refuse_opener(
        &self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        opening: &PendingOpener,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.openers_refused.inc();
        let waited_ms = context.now_ms - opening.since_ms;
        let age_ms = opening.age_ms() + waited_ms;
        log::info!(
            "event=opener_refused flow={key} reason={reason} waited_ms={waited_ms} age_ms={age_ms} waiting={} busy={} slots={} code={} revision={}",
            self.wait_queue.len(),
            self.flows.busy_requests(),
            self.backend_slots(context).unwrap_or_default(),
            Code::NoRoom.number(),
            context.revision
        );
        if !opening.balancer.is_unspecified() {
            send_to_peer(MessageKind::Absent, key, opening.balancer, actions);
        }
        self.send_attempt_failed(context, key, age_ms, actions);
        self.reset_flow(key, 0, Code::NoRoom, actions);
    }
}

/// Returns whether a queue has an opener or request of a flow.
pub(super) fn has_queued_flow(queue: &WaitQueue<QueuedWork>, key: &FlowKey) -> bool {
    queue.iter().any(|waiting| waiting.item.key == *key)
}

/// Returns an opener with the time that it has waited here added to its wait.
fn with_added_wait(mut opening: PendingOpener, waited_ms: u64) -> PendingOpener {
    let waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
    opening.waited_ms = opening.waited_ms.saturating_add(waited_ms);
    opening
}

/// Creates the queue entry of an opener that arrived now.
fn queued_opener(
    context: &AgentContext<'_>,
    key: &FlowKey,
    opening: &PendingOpener,
    deadline: &Deadline,
) -> QueuedItem<QueuedWork> {
    let age_ms = opening.age_ms();
    let opens_ms = u64::from(UNANSWERED_ATTEMPT_TIMEOUT_MS).saturating_sub(opening.copy_age_ms());
    let left_ms = u64::from(deadline.timeout_ms).saturating_sub(age_ms);
    let opens_ms = opens_ms.min(MAX_WAIT_OBJECTIVES * u64::from(deadline.objective_ms));
    let work = QueuedWork {
        key: *key,
        kind: QueuedKind::Opener(opening.clone()),
    };
    queue_entry(context, work, age_ms, left_ms.min(opens_ms), deadline)
}

/// Creates the queue entry of work whose caller has waited for `age_ms` and may wait for `left_ms`
/// more.
pub(super) fn queue_entry(
    context: &AgentContext<'_>,
    work: QueuedWork,
    age_ms: u64,
    left_ms: u64,
    deadline: &Deadline,
) -> QueuedItem<QueuedWork> {
    let route = context.directory.routes().get(work.key.called);
    let objective_ms = u64::from(deadline.objective_ms).saturating_sub(age_ms);
    QueuedItem {
        caller: u64::from(work.key.caller.ip().to_bits()),
        priority: route.map_or(0, |route| route.priority),
        since_ms: context.now_ms,
        due_ms: context.now_ms + objective_ms,
        objective_ms: deadline.objective_ms,
        deadline_ms: context.now_ms + left_ms,
        item: work,
    }
}
