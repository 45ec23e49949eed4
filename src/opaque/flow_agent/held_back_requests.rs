//! Requests on open flows that wait at their agent until the backend server has room.
//!
//! Load pattern: there are more requests than all slots can serve, most of them on flows that are
//! bound to their servers. In the server's own queue an urgent request waits behind all others, and
//! once that queue is full the server refuses it. In the agent's queue urgent requests go first and
//! none is refused. A held-back request is handed over whole and in order while its caller still
//! waits. See docs/design/waiting-openers.md.

use crate::opaque::flow_agent::delivery::busy_timeout_ms;
use crate::opaque::flow_agent::waiting::{QueuedKind, QueuedWork, queue_entry};
use crate::opaque::flow_agent::{AgentContext, FlowAgent};
use crate::opaque::flows::flow::{FlowState, RunningRequest, is_after};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The maximum number of queued packets of one request: as many as a caller sends without an
/// acknowledgement.
const MAX_QUEUED_PACKETS: usize = 16;
/// The wait from which a request is logged, in milliseconds: half of the users' shortest latency
/// objective.
const LOGGED_WAIT_MS: u64 = 100;

impl FlowAgent {
    /// Returns whether a request that begins now on an open flow has to wait.
    pub(super) fn must_hold_back(&mut self, context: &AgentContext<'_>, key: &FlowKey) -> bool {
        if self.has_queued(key) {
            // Keeps the packets of a flow in order.
            return true;
        }
        let Some(deadline) = self.request_deadline(context, key) else {
            return false;
        };
        let Some(slots) = self.backend_slots(context) else {
            return false;
        };
        if self.is_stuck(context) {
            return false;
        }
        let max_busy = self.max_handed_over(slots, deadline.objective_ms, context.now_ms);
        let is_full = f64::from(self.flows.fresh_busy_requests(context.now_ms)) >= max_busy;
        // The published entries are searched only if there is no room, and not for each packet.
        is_full && self.check_takes_new_flows(context).is_ok()
    }

    /// Queues a packet that begins a request or continues a queued one.
    pub(super) fn hold_back(
        &mut self,
        context: &AgentContext<'_>,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if let Some(packets) = self.queued_packets(&key) {
            packets.push(packet.to_vec());
            if packets.len() >= MAX_QUEUED_PACKETS {
                self.release_request(context, &key, actions);
            }
            return;
        }
        let packets = vec![packet.to_vec()];
        let deadline = self.request_deadline(context, &key);
        let Some(deadline) = deadline.filter(|_| self.wait_queue.has_room()) else {
            self.hand_over_request(context, &key, packets, 0, actions);
            return;
        };
        self.metrics.requests_held_back.inc();
        if context.directory.has_deadline(key.called) {
            self.stall_detector.record_arrival(context.now_ms);
        }
        let work = QueuedWork {
            key,
            kind: QueuedKind::Request(packets),
        };
        let longest_ms = u64::from(deadline.timeout_ms);
        self.wait_queue
            .push(queue_entry(context, work, 0, longest_ms, &deadline));
        self.serve_queue(context, actions);
    }

    /// Handles a packet without new data on a flow with a queued request. Returns whether the
    /// packet was queued or dropped, so that it must not be handed over now.
    ///
    /// A copy of a queued packet is dropped. Other data and the end of the caller's data are queued
    /// in order. If the caller reset its flow, the queued request is dropped.
    pub(super) fn absorb_into_queued_request(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let key = segment.flow_from_caller();
        if segment.resets {
            log::debug!("event=caller_left flow={key}");
            self.wait_queue.take_if(|waiting| waiting.item.key == key);
            return false;
        }
        let decode = self.wire.decode;
        let Some(packets) = self.queued_packets(&key) else {
            return false;
        };
        if !segment.ends && segment.payload_bytes == 0 {
            return false;
        }
        let is_copy = packets.iter().any(|known| known == packet);
        if !is_copy && packets.len() < MAX_QUEUED_PACKETS {
            // A packet that arrived out of order goes before the later ones.
            let comes_after = |known: &Vec<u8>| {
                decode(known).is_ok_and(|known| is_after(known.sequence, segment.sequence))
            };
            let index = packets.iter().position(comes_after);
            packets.insert(index.unwrap_or(packets.len()), packet.to_vec());
        }
        true
    }

    /// Hands a queued request over to the backend server.
    pub(super) fn hand_over_request(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        packets: Vec<Vec<u8>>,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let request_id = self.wire.request_id;
        let id = packets.first().and_then(|packet| request_id(packet));
        let id = id.map(str::to_owned);
        if waited_ms >= LOGGED_WAIT_MS {
            log::info!(
                "event=request_dequeued request={} flow={key} waited_ms={waited_ms} waiting={} busy={}",
                id.as_deref().unwrap_or("unknown"),
                self.wait_queue.len(),
                self.flows.busy_requests()
            );
        }
        let busy_timeout_ms = busy_timeout_ms(context.directory.deadline(key.called));
        let decode = self.wire.decode;
        let segments = packets.iter().filter_map(|packet| decode(packet).ok());
        let segments: Vec<Segment> = segments.collect();
        let caller_left = segments.iter().any(Segment::ends_without_data);
        self.flows.update(key, context.now_ms, |flow| {
            flow.has_caller_left |= caller_left;
            if flow.state == FlowState::Open && flow.running.is_none() {
                flow.running = Some(RunningRequest::new(
                    id.as_deref(),
                    busy_timeout_ms,
                    context.now_ms,
                ));
            }
        });
        for segment in &segments {
            self.record_handed_over(context, segment, segment.payload_bytes > 0);
        }
        actions.extend(packets.into_iter().map(Action::ToBackend));
    }

    /// Hands the queued request of a flow over to the backend server ahead of its turn.
    fn release_request(
        &mut self,
        context: &AgentContext<'_>,
        key: &FlowKey,
        actions: &mut Vec<Action>,
    ) {
        for waiting in self.wait_queue.take_if(|waiting| waiting.item.key == *key) {
            if let QueuedKind::Request(packets) = waiting.item.kind {
                let waited_ms = context.now_ms - waiting.since_ms;
                self.hand_over_request(context, key, packets, waited_ms, actions);
            }
        }
    }

    /// Returns the packets of the queued request of a flow.
    fn queued_packets(&mut self, key: &FlowKey) -> Option<&mut Vec<Vec<u8>>> {
        let work = self.wait_queue.find_mut(|work| work.key == *key)?;
        match &mut work.kind {
            QueuedKind::Request(packets) => Some(packets),
            QueuedKind::Opener(_) => None,
        }
    }
}
