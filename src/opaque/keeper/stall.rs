//! What an agent does while its backend server stands still.
//!
//! Flows without a request lose nothing by a reset: their callers open new ones elsewhere with their next
//! requests, of which each would cost a whole timeout here. What waits there stays, since its answer may still
//! come. See docs/design/stalled-servers.md.

use crate::code::Code;
use crate::opaque::keeper::waiting::has_flow;
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::openers::mean_load::{MeanLoad, RECENT_SPAN_MS, STEADY_SPAN_MS};
use crate::opaque::openers::recent_outcomes::RecentOutcomes;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// How many flows are reset at most each time the agent looks: their callers come to the other backend servers,
/// which take a few new flows at a time.
const RESETS_A_LOOK: usize = 32;
/// The data bytes from which a packet may be followed by more of the same request or answer: senders fill the
/// packets of what needs several, and every path carries at least so much.
const FULL_PACKET_BYTES: u16 = 1_200;

/// Tells whether more of the same request or answer may follow a packet.
pub(super) fn may_go_on(segment: &Segment) -> bool {
    segment.payload_bytes >= FULL_PACKET_BYTES
}

impl Keeper {
    /// Tells whether the backend server takes requests and serves none.
    ///
    /// Never where callers have time for further attempts, which find another backend server then.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        self.stall.is_stalled(now_ms)
    }

    /// Looks whether the backend server stands still, and ends what loses nothing by it; due each
    /// [`crate::decisions::stall::LOOK_MS`].
    pub fn look_for_stall(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        // A backend server that no table has gets no opener, and its flows end soon.
        let Some(slots) = self.own_slots(scene) else {
            return Vec::new();
        };
        if let Some(stall) = self.stall.look(slots, scene.now_ms) {
            self.metrics.backend_stalls.inc();
            log::warn!(
                "event=backend_stalled silent_ms={} waiting={} slots={slots} open={} revision={}",
                stall.silent_ms,
                stall.waiting,
                self.flows.open_flows(),
                scene.revision
            );
        }
        let mut actions = Vec::new();
        if self.is_stalled(scene.now_ms) {
            self.reset_idle(scene, &mut actions);
        }
        actions
    }

    /// Ends some flows that carry no request, of callers who have time for one attempt only.
    fn reset_idle(&mut self, scene: &Scene<'_>, actions: &mut Vec<Action>) {
        let has_deadline = |key: &FlowKey| scene.directory.has_deadline(key.called);
        let waiting = &self.waiting;
        let may_end = |key: &FlowKey| has_deadline(key) && !has_flow(waiting, key);
        let ended = self.flows.end_idle(RESETS_A_LOOK, may_end);
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
            self.reset(
                &flow.key,
                flow.acknowledgement,
                Code::BackendStalled,
                actions,
            );
        }
    }

    /// Notes that a packet which the backend server was handed brought data of a request, or ended its flow.
    pub(super) fn note_handed_over(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        is_new_data: bool,
    ) {
        let key = segment.flow_from_caller();
        if is_new_data {
            let has_deadline = scene.directory.has_deadline(key.called);
            let is_whole = has_deadline && !may_go_on(segment);
            self.stall.handed_over(key, is_whole, scene.now_ms);
        }
        if segment.ends || segment.resets {
            self.stall.withdrawn(key);
        }
    }

    /// Notes that the backend server answered something that it had to work for.
    pub(super) fn note_progress(&mut self, key: FlowKey, now_ms: u64) {
        if let Some(stalled_ms) = self.stall.served(key, now_ms) {
            log::warn!(
                "event=backend_recovered stalled_ms={stalled_ms} busy={}",
                self.flows.busy_requests()
            );
            self.forget_what_hung();
        }
    }

    /// Forgets load and failures of a stall, which would keep a backend server idle for seconds that works again.
    fn forget_what_hung(&mut self) {
        self.forget_slot_times();
        self.load = MeanLoad::new(RECENT_SPAN_MS);
        self.steady_load = MeanLoad::new(STEADY_SPAN_MS);
        self.outcomes = RecentOutcomes::default();
        self.failing = false;
    }

    /// Lets an opener through to a backend server that stands still, to see whether it works again.
    ///
    /// A request that may not run twice would be lost with it.
    pub(super) fn may_probe_stalled(&self, scene: &Scene<'_>, key: &FlowKey) -> bool {
        let routes = scene.directory.routes();
        routes.may_probe(key.called, self.identity.service) && self.stall.may_probe(scene.now_ms)
    }

    /// Tells whether a backend server that has just come back has as much to do as it should have by now.
    pub(super) fn is_refilled(&self, limit: Option<f64>, now_ms: u64) -> bool {
        let busy = f64::from(self.flows.busy_requests());
        limit.is_some_and(|limit| busy >= self.stall.room(limit, now_ms))
    }
}
