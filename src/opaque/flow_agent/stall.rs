//! Handling of a stalled backend server.
//!
//! A flow without a request loses nothing by a reset: its caller opens a new one elsewhere with the
//! next request, which would cost a whole timeout here. Flows with a pending request are kept,
//! since the answer may still come. See docs/design/stalled-servers.md.

use crate::code::Code;
use crate::opaque::flow_agent::waiting::has_queued_flow;
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::openers::mean_load::{MeanLoad, RECENT_SPAN_MS, STEADY_SPAN_MS};
use crate::opaque::openers::recent_outcomes::RecentOutcomes;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The maximum number of flows that are reset in one stall check. Their callers go to the other
/// backend servers, which take a few new flows at a time.
const MAX_RESETS_PER_CHECK: usize = 32;
/// The data bytes from which a packet may be followed by more of the same request or answer. A
/// sender that needs several packets fills them, and every path carries at least this much.
const FULL_PACKET_BYTES: u16 = 1_200;

/// Returns whether more of the same request or answer may follow a packet.
pub(super) fn may_continue(segment: &Segment) -> bool {
    segment.payload_bytes >= FULL_PACKET_BYTES
}

impl FlowAgent {
    /// Returns whether the backend server accepts requests and answers none.
    ///
    /// Only requests of routes with a deadline are evidence of a stall. Callers of other routes
    /// have time for further attempts, which find another backend server.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        self.stall_detector.is_stalled(now_ms)
    }

    /// Checks whether the backend server is stalled, and resets idle flows if so; to be called
    /// every [`crate::decisions::stall::STALL_CHECK_INTERVAL_MS`].
    pub fn check_for_stall(&mut self, context: &AgentContext<'_>) -> Vec<Action> {
        // A backend server that no table lists gets no openers, and its flows end soon.
        let Some(slots) = self.backend_slots(context) else {
            return Vec::new();
        };
        if let Some(stall) = self.stall_detector.check(slots, context.now_ms) {
            self.metrics.backend_stalls.inc();
            log::warn!(
                "event=backend_stalled silent_ms={} waiting={} slots={slots} open={} revision={}",
                stall.silent_ms,
                stall.waiting,
                self.flows.open_flows(),
                context.revision
            );
        }
        let mut actions = Vec::new();
        if self.is_stalled(context.now_ms) {
            self.reset_idle_flows(context, &mut actions);
        }
        actions
    }

    /// Resets some flows without a request, of callers that have time for one attempt only.
    fn reset_idle_flows(&mut self, context: &AgentContext<'_>, actions: &mut Vec<Action>) {
        let has_deadline = |key: &FlowKey| context.directory.has_deadline(key.called);
        let wait_queue = &self.wait_queue;
        let may_end = |key: &FlowKey| has_deadline(key) && !has_queued_flow(wait_queue, key);
        let ended = self.flows.end_idle(MAX_RESETS_PER_CHECK, may_end);
        if ended.is_empty() {
            return;
        }
        log::info!(
            "event=stalled_flows_reset flows={} open={} busy={}",
            ended.len(),
            self.flows.open_flows(),
            self.flows.busy_requests()
        );
        for flow in ended {
            self.reset_flow(
                &flow.key,
                flow.acknowledgement,
                Code::BackendStalled,
                actions,
            );
        }
    }

    /// Records a packet that was handed over to the backend server: request data, or the end of its
    /// flow.
    pub(super) fn record_handed_over(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        is_new_data: bool,
    ) {
        let key = segment.flow_from_caller();
        if is_new_data {
            let has_deadline = context.directory.has_deadline(key.called);
            let is_whole = has_deadline && !may_continue(segment);
            self.stall_detector
                .record_request(key, is_whole, context.now_ms);
        }
        if segment.ends || segment.resets {
            self.stall_detector.remove_request(key);
        }
    }

    /// Records that the backend server served a request, or a part of its answer.
    pub(super) fn record_progress(&mut self, key: FlowKey, now_ms: u64) {
        if let Some(stalled_ms) = self.stall_detector.record_answer(key, now_ms) {
            log::warn!(
                "event=backend_recovered stalled_ms={stalled_ms} busy={}",
                self.flows.busy_requests()
            );
            self.forget_stall();
        }
    }

    /// Clears the load and the failures measured during a stall. They would keep a recovered
    /// backend server idle for seconds.
    fn forget_stall(&mut self) {
        self.forget_slot_times();
        self.recent_load = MeanLoad::new(RECENT_SPAN_MS);
        self.steady_load = MeanLoad::new(STEADY_SPAN_MS);
        self.outcomes = RecentOutcomes::default();
        self.was_failing = false;
    }

    /// Returns whether a stalled backend server may be probed with an opener, to find out whether
    /// it works again.
    ///
    /// A request that may not run twice would be lost if the server is still stalled, so only
    /// openers of repeatable routes are used if the service has any.
    pub(super) fn may_probe_stalled(&self, context: &AgentContext<'_>, key: &FlowKey) -> bool {
        let routes = context.directory.routes();
        routes.may_probe(key.called, self.identity.service)
            && self.stall_detector.may_probe(context.now_ms)
    }

    /// Returns whether a recovering backend server has as many busy requests as the ramp after a
    /// stall allows now.
    pub(super) fn has_reached_ramp_limit(&self, limit: Option<f64>, now_ms: u64) -> bool {
        let busy = f64::from(self.flows.busy_requests());
        limit.is_some_and(|limit| busy >= self.stall_detector.ramped_limit(limit, now_ms))
    }
}
