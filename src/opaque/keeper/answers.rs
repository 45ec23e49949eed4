//! What the backend server sends, and what its silence means.

use std::net::Ipv4Addr;

use crate::opaque::flows::flow::{Flow, FlowState, PacketSource, RunningRequest};
use crate::opaque::keeper::stall::may_go_on;
use crate::opaque::keeper::{BACKEND_TIMEOUT_MS, Keeper, Scene, tell};
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::MessageKind;
use crate::opaque::packets::segment::{FlowKey, Segment};

/// The time from which an answer is logged as slow, in milliseconds: above the latency that the users
/// aim at for any kind of request today.
const SLOW_MS: u64 = 500;
/// The status from which an answer is logged.
const FIRST_ERROR_STATUS: u16 = 400;
/// The status from which an answer is the backend server's failure and not its caller's.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;
/// The status by which a backend server says that it has no room, which is no failure where its slots are busy.
const OVERLOADED_STATUS: u16 = 503;

/// Why a backend server ended a flow whose request it had not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UnansweredEnd {
    /// It failed the request.
    Closed,
    /// The caller had ended the flow before.
    CallerLeft,
    /// It reset a flow of which the agent had seen nothing before this request.
    FromBefore,
}

impl UnansweredEnd {
    /// Returns its name in log lines.
    fn reason(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::CallerLeft => "caller_left",
            Self::FromBefore => "flow_from_before",
        }
    }
}

impl Keeper {
    /// Takes a packet that the backend server returned.
    pub(super) fn returned(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        mut packet: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        (self.wire.restore)(&mut packet);
        let key = segment.flow_from_caller();
        let Some(flow) = self.flows.get(&key) else {
            return;
        };
        match flow.state.clone() {
            FlowState::Opening(opening) => {
                self.flows.remove(&key, scene.now_ms);
                self.hand_on(scene, &key, opening, actions);
            }
            // A late copy of an opener whose flow has opened already, here or elsewhere.
            _ if segment.opens => {}
            state => {
                self.stall.withdrawn(key);
                let lost = self.flows.update(&key, scene.now_ms, |flow| {
                    flow.state = FlowState::Absent;
                    flow.running.take()
                });
                if let Some(running) = lost.flatten() {
                    self.metrics.requests_lost.inc();
                    let id = running.id;
                    log::warn!("event=request_lost request={id} flow={key} reason=flow_not_held");
                }
                match state {
                    FlowState::Unconfirmed {
                        source: PacketSource::AskingAgent(asker),
                        ..
                    } => tell(MessageKind::Absent, &key, asker, actions),
                    // It opened here and nowhere else, and has ended with its backend server.
                    FlowState::Unconfirmed {
                        source: PacketSource::BalancerKnowsOpened,
                        ..
                    } => {
                        self.metrics.ends_proved_by_backend.inc();
                        self.end_gone(scene, &key, segment.acknowledgement, 0, actions);
                    }
                    _ => self.look_up(scene, segment, &packet, Ipv4Addr::UNSPECIFIED, actions),
                }
            }
        }
    }

    /// Notes what an answer of the backend server tells of its flow.
    pub(super) fn answer(&mut self, scene: &Scene<'_>, segment: &Segment, packet: &[u8]) {
        let now_ms = scene.now_ms;
        let key = segment.flow_from_backend();
        let has_deadline = scene.directory.has_deadline(key.called);
        // What the backend server has acknowledged is no new request when its caller sends it again.
        let tells_acknowledged = has_deadline && !segment.resets;
        let acknowledged = tells_acknowledged.then_some(segment.acknowledgement);
        if self.flows.get(&key).is_none() {
            if !segment.resets && !segment.accepts {
                let mut flow = Flow::new(FlowState::Open, now_ms);
                flow.backend_acknowledgement = acknowledged;
                flow.caller_acknowledgement = segment.sequence;
                flow.is_confirmed = true;
                self.remember(key, flow, now_ms);
            }
            if segment.payload_bytes > 0 {
                self.note_progress(key, now_ms);
            }
            return;
        }
        let broke_ms = self.broke_ms;
        let answered = self.flows.update(&key, now_ms, |flow| {
            flow.last_seen_ms = now_ms;
            let was_shown = flow.is_confirmed;
            flow.is_confirmed |= !segment.accepts;
            if let Some(next) = acknowledged {
                flow.record_acknowledgement(next);
            }
            match &mut flow.state {
                FlowState::Opening(opening) if segment.accepts => {
                    opening.is_answered = true;
                    opening.backend_sequence = segment.sequence;
                }
                FlowState::Opening(_) | FlowState::Open => {}
                state => *state = FlowState::Open,
            }
            flow.is_closed |= segment.ends || segment.resets;
            let outlived = broke_ms.is_some_and(|broke_ms| flow.since_ms < broke_ms);
            let seen = flow.backend_next_sequence;
            let answers = flow.record_answer(segment);
            let brings = segment.payload_bytes > 0 && flow.backend_next_sequence != seen;
            if brings {
                flow.may_continue_answer = may_go_on(segment);
            }
            let running = flow.running.take_if(|_| answers || flow.is_closed);
            let end = match (answers, has_deadline) {
                (true, _) => None,
                (false, true) => Some(unanswered_end(flow, segment, was_shown)),
                (false, false) => Some(UnansweredEnd::Closed),
            };
            (outlived, brings, running.map(|running| (running, end)))
        });
        let (outlived, brings, answered) = answered.unwrap_or_default();
        if outlived {
            // Its process lives: it closed an idle connection.
            self.broke_ms = None;
        }
        let status = (self.wire.status)(packet);
        let is_error = is_server_error(status);
        if brings && !is_error {
            self.note_progress(key, now_ms);
        } else if answered.is_some() {
            self.stall.withdrawn(key);
        }
        match answered {
            Some((running, None)) => {
                if !is_error {
                    // A refusal says nothing of how long requests take.
                    self.slot_time.answered(now_ms);
                }
                self.note_slots(scene);
                self.note_answer(scene, &key, &running, status);
            }
            Some((running, Some(end))) => self.note_closed(&key, &running, end, now_ms),
            None => {}
        }
    }

    /// Notes that the backend server ended a flow whose request it had not answered.
    fn note_closed(
        &mut self,
        key: &FlowKey,
        running: &RunningRequest,
        end: UnansweredEnd,
        now_ms: u64,
    ) {
        let waited_ms = now_ms.saturating_sub(running.since_ms);
        log::warn!(
            "event=request_lost request={} flow={key} waited_ms={waited_ms} reason={}",
            running.id,
            end.reason()
        );
        self.metrics.requests_lost.inc();
        if end == UnansweredEnd::Closed {
            self.note_failed(now_ms);
        }
    }

    fn note_answer(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        running: &RunningRequest,
        status: Option<u16>,
    ) {
        let now_ms = scene.now_ms;
        let took_ms = now_ms.saturating_sub(running.since_ms);
        self.metrics
            .request_seconds
            .observe(took_ms as f64 / 1_000.0);
        if status == Some(OVERLOADED_STATUS) && self.is_full(scene, key) {
            // In a rush it would seem to fail, and be left idle as soon as it has room again.
            self.metrics.requests_shed.inc();
            let busy = self.flows.busy_requests();
            let least = self.shed_at(now_ms).map_or(busy, |least| least.min(busy));
            self.shed_at = Some((least, now_ms));
        } else if is_server_error(status) {
            self.note_failed(now_ms);
        } else {
            self.note_served(now_ms);
        }
        // An answer whose status does not show is an ordinary one: refusals are short and show theirs.
        let failed = status.is_some_and(|status| status >= FIRST_ERROR_STATUS);
        if failed || took_ms >= SLOW_MS {
            log::info!(
                "event=request_answered request={} flow={key} status={} took_ms={took_ms} busy={}",
                running.id,
                status.map_or_else(|| "unknown".to_owned(), |status| status.to_string()),
                self.flows.busy_requests()
            );
        }
    }

    /// Does what is due for one flow; says whether nothing more is awaited.
    pub(super) fn settle(
        &mut self,
        scene: &Scene<'_>,
        key: &FlowKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(flow) = self.flows.get(key) else {
            return true;
        };
        match flow.state.clone() {
            FlowState::Opening(opening) if !opening.is_answered => {
                if scene.now_ms < opening.since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                if self.silent_since_ms.replace(opening.since_ms).is_none() {
                    self.doubted = true;
                    log::warn!("event=backend_silent flow={key} waited_ms={BACKEND_TIMEOUT_MS}");
                }
                self.hand_on(scene, key, opening, actions);
            }
            FlowState::Unconfirmed { since_ms, source } => {
                if scene.now_ms < since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                self.flows
                    .update(key, scene.now_ms, |flow| flow.state = FlowState::Open);
                if let PacketSource::AskingAgent(asker) = source {
                    tell(MessageKind::Found, key, asker, actions);
                }
            }
            _ => {}
        }
        true
    }
}

/// Returns why the backend server ended a flow with this packet, which it had shown to hold before or not.
///
/// After a restart of many hosts callers leave whose time ran out in the dark, and flows are reset that ended with
/// what was before: counted as failures, both would have a backend server left out that has just come back.
fn unanswered_end(flow: &Flow, segment: &Segment, was_shown: bool) -> UnansweredEnd {
    if flow.has_caller_left {
        UnansweredEnd::CallerLeft
    } else if segment.resets && !was_shown {
        UnansweredEnd::FromBefore
    } else {
        UnansweredEnd::Closed
    }
}

/// Tells whether an answer is the backend server's failure; one whose status does not show is an ordinary one.
fn is_server_error(status: Option<u16>) -> bool {
    status.is_some_and(|status| status >= FIRST_SERVER_ERROR_STATUS)
}
