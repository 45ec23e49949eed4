//! Requests on open flows that wait at their agent until the backend server has room.
//!
//! Load pattern: more is asked for than all slots can do, and most of it on flows that are bound to their servers.
//! In the server's own queue an urgent request stands behind all others, and where that is full the server refuses
//! it. Here the urgent goes first and nothing is refused. What waits is handed over whole and in order while its
//! caller waits. See docs/design/waiting-openers.md.

use crate::opaque::flows::flow::{FlowState, RunningRequest, is_after};
use crate::opaque::keeper::delivery::counts_ms;
use crate::opaque::keeper::waiting::{WaitingWork, WorkKind, waiting_of};
use crate::opaque::keeper::{Keeper, Scene};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The most packets of one request that wait: as many as a caller sends without an acknowledgement.
const MAX_PACKETS: usize = 16;
/// The wait from which a request is logged, in milliseconds: half of the shortest latency objective of today's users.
const LOGGED_MS: u64 = 100;

impl Keeper {
    /// Tells whether a request that begins now on an open flow has to wait.
    pub(super) fn is_held_back(&mut self, scene: &Scene<'_>, key: &FlowKey) -> bool {
        if self.is_waiting_at(key) {
            // Its packets stay in order.
            return true;
        }
        let Some(deadline) = self.request_deadline(scene, key) else {
            return false;
        };
        let Some(slots) = self.own_slots(scene) else {
            return false;
        };
        if self.is_stuck(scene) {
            return false;
        }
        let most = self.handed_at_most(slots, deadline.objective_ms, scene.now_ms);
        let is_full = f64::from(self.flows.fresh_busy_requests(scene.now_ms)) >= most;
        // What is published is searched for each packet only where there is no room.
        is_full && self.admits_any(scene).is_ok()
    }

    /// Lets a packet wait that begins a request, or goes on with one that waits.
    pub(super) fn hold_back(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if let Some(packets) = self.waiting_packets(&key) {
            packets.push(packet.to_vec());
            if packets.len() >= MAX_PACKETS {
                self.release(scene, &key, actions);
            }
            return;
        }
        let packets = vec![packet.to_vec()];
        let deadline = self.request_deadline(scene, &key);
        let Some(deadline) = deadline.filter(|_| self.waiting.has_room()) else {
            self.hand_request(scene, &key, packets, 0, actions);
            return;
        };
        self.metrics.requests_held_back.inc();
        if scene.directory.has_deadline(key.called) {
            self.stall.came_in(scene.now_ms);
        }
        let work = WaitingWork {
            key,
            kind: WorkKind::Request(packets),
        };
        let longest_ms = u64::from(deadline.timeout_ms);
        self.waiting
            .push(waiting_of(scene, work, 0, longest_ms, &deadline));
        self.serve_waiting(scene, actions);
    }

    /// Takes a packet without new data on a flow whose request waits; says whether it goes no further now.
    ///
    /// A copy of what waits is dropped, other data and the end of the caller's data wait in their order, and a caller
    /// that broke its flow off asks for nothing any more.
    pub(super) fn takes_waiting(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let key = segment.flow_from_caller();
        if segment.resets {
            log::debug!("event=caller_left flow={key}");
            self.waiting.take_if(|waiting| waiting.item.key == key);
            return false;
        }
        let decode = self.wire.decode;
        let Some(packets) = self.waiting_packets(&key) else {
            return false;
        };
        if !segment.ends && segment.payload_bytes == 0 {
            return false;
        }
        let is_copy = packets.iter().any(|known| known == packet);
        if !is_copy && packets.len() < MAX_PACKETS {
            // One that was overtaken on its way goes before those that came first.
            let comes_after = |known: &Vec<u8>| {
                decode(known).is_ok_and(|known| is_after(known.sequence, segment.sequence))
            };
            let index = packets.iter().position(comes_after);
            packets.insert(index.unwrap_or(packets.len()), packet.to_vec());
        }
        true
    }

    /// Hands a request over that has waited.
    pub(super) fn hand_request(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        packets: Vec<Vec<u8>>,
        waited_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let request_id = self.wire.request_id;
        let id = packets.first().and_then(|packet| request_id(packet));
        let id = id.map(str::to_owned);
        if waited_ms >= LOGGED_MS {
            log::info!(
                "event=request_dequeued request={} flow={key} waited_ms={waited_ms} waiting={} busy={}",
                id.as_deref().unwrap_or("unknown"),
                self.waiting.len(),
                self.flows.busy_requests()
            );
        }
        let counts_ms = counts_ms(scene.directory.deadline(key.called));
        let decode = self.wire.decode;
        let segments = packets.iter().filter_map(|packet| decode(packet).ok());
        let segments: Vec<Segment> = segments.collect();
        let caller_left = segments.iter().any(Segment::ends_without_data);
        self.flows.update(key, scene.now_ms, |flow| {
            flow.has_caller_left |= caller_left;
            if flow.state == FlowState::Open && flow.running.is_none() {
                flow.running = Some(RunningRequest::new(id.as_deref(), counts_ms, scene.now_ms));
            }
        });
        for segment in &segments {
            self.note_handed_over(scene, segment, segment.payload_bytes > 0);
        }
        actions.extend(packets.into_iter().map(Action::ToBackend));
    }

    fn release(&mut self, scene: &Scene<'_>, key: &FlowKey, actions: &mut Vec<Action>) {
        for waiting in self.waiting.take_if(|waiting| waiting.item.key == *key) {
            if let WorkKind::Request(packets) = waiting.item.kind {
                let waited_ms = scene.now_ms - waiting.since_ms;
                self.hand_request(scene, key, packets, waited_ms, actions);
            }
        }
    }

    /// Returns the packets of a request that waits.
    fn waiting_packets(&mut self, key: &FlowKey) -> Option<&mut Vec<Vec<u8>>> {
        let of_flow = self.waiting.find_mut(|work| work.key == *key)?;
        match &mut of_flow.kind {
            WorkKind::Request(packets) => Some(packets),
            WorkKind::Opener(_) => None,
        }
    }
}
