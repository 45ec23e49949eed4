//! An agent's decisions about packets: it alone knows what its backend server holds.
//!
//! Nothing is proof but the backend server itself, which returns each packet of a flow that it does
//! not hold. What the agent remembers saves asking it. See docs/OPAQUE.md, "Finding a flow".

mod answers;
mod backend_life;
mod declines;
mod delivery;
mod handing_on;
mod held_requests;
mod opener_checks;
mod opener_limits;
mod openers;
mod questions;
mod stall;
mod told;
mod waiting;

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::code::Code;
use crate::config::revision::Revision;
use crate::config::service_id::ServiceId;
use crate::decisions::service_time::SlotTime;
use crate::decisions::stall::StallWatch;
use crate::decisions::suspicion::Suspicion;
use crate::decisions::wait_queue::WaitQueue;
use crate::error::Result;
use crate::opaque::flows::flow::Flow;
use crate::opaque::flows::flow_table::FlowTable;
use crate::opaque::flows::lookup::Lookups;
use crate::opaque::keeper::waiting::WaitingWork;
use crate::opaque::openers::cold_rate_limiter::ColdRateLimiter;
use crate::opaque::openers::mean_load::{
    FAILING_LOAD_PERMILLE, MeanLoad, RECENT_SPAN_MS, STEADY_SPAN_MS,
};
use crate::opaque::openers::recent_outcomes::RecentOutcomes;
use crate::opaque::packets::action::Action;
use crate::opaque::packets::message::{Message, MessageKind, UNKNOWN_LOAD_PERMILLE};
use crate::opaque::packets::segment::{FlowKey, WireFormat};
use crate::opaque::values::directory::Directory;
use crate::opaque::values::known_balancers::KnownBalancers;
use crate::opaque::values::local_backend::LocalBackend;
use crate::process::opaque_metrics::OpaqueMetrics;

/// How long a backend server may take to answer an opener or to return a packet, in milliseconds:
/// it does so in under one, and the agent itself may wait for its share of a core.
const BACKEND_TIMEOUT_MS: u64 = 50;

/// What an agent looks at while it decides.
pub struct Scene<'a> {
    /// The published backend servers and routes.
    pub directory: &'a Directory,
    /// Who is believed to be dead.
    pub suspicion: &'a Suspicion,
    /// The highest revision in force here.
    pub revision: Revision,
    /// Whether a backend server that is not published may be taken for gone.
    pub settled: bool,
    /// The time, in milliseconds.
    pub now_ms: u64,
}

/// Who an agent is and which backend server stands beside it.
#[derive(Debug, Clone, Copy)]
pub struct KeeperIdentity {
    /// The agent's host.
    pub host: Ipv4Addr,
    /// Where its backend server takes packets.
    pub backend: SocketAddrV4,
    /// The service for which the backend server was set up.
    pub service: ServiceId,
    /// The longest life of a flow, in milliseconds.
    pub flow_lifetime_ms: u64,
}

/// The flows of one agent, and what they ask of it.
#[derive(Debug)]
pub struct Keeper {
    wire: WireFormat,
    identity: KeeperIdentity,
    metrics: OpaqueMetrics,
    flows: FlowTable,
    /// The load over the last second, which is told.
    load: MeanLoad,
    /// The load over a longer time, by which flows are shared out.
    steady_load: MeanLoad,
    slot_time: SlotTime,
    /// The fewest requests at which the backend server refused one for want of room, and when it last did.
    shed_at: Option<(u32, u64)>,
    /// Openers and requests that wait for a slot of the backend server.
    waiting: WaitQueue<WaitingWork>,
    outcomes: RecentOutcomes,
    failing: bool,
    stall: StallWatch<FlowKey>,
    cold_rate: ColdRateLimiter,
    /// Since when the backend server may be cold without its entry telling so yet.
    maybe_cold_since_ms: Option<u64>,
    /// Whether operators had evacuated its availability zone when that was last looked at.
    was_evacuated: bool,
    lookups: Lookups,
    pending: Vec<FlowKey>,
    balancers: KnownBalancers,
    knows_all: bool,
    backend_up: bool,
    leaving: bool,
    silent_since_ms: Option<u64>,
    refused_since_ms: Option<u64>,
    refusing: bool,
    listens: bool,
    /// Whether its silence says that the connection to it should be made anew.
    doubted: bool,
    /// When the connection to the backend server first broke in the lifetime that is published.
    broke_ms: Option<u64>,
    /// The lifetime of the backend server that was published last.
    lifetime: Option<LocalBackend>,
    last_heard_ms: u64,
    last_probe_ms: u64,
}

impl Keeper {
    /// Makes the keeper of an agent; `knows_all` where no flow can be older than it.
    pub fn new(
        wire: WireFormat,
        identity: KeeperIdentity,
        knows_all: bool,
        metrics: &OpaqueMetrics,
    ) -> Self {
        Self {
            wire,
            identity,
            metrics: metrics.clone(),
            flows: FlowTable::new(metrics, identity.flow_lifetime_ms),
            load: MeanLoad::new(RECENT_SPAN_MS),
            steady_load: MeanLoad::new(STEADY_SPAN_MS),
            slot_time: SlotTime::default(),
            shed_at: None,
            waiting: WaitQueue::default(),
            outcomes: RecentOutcomes::default(),
            failing: false,
            stall: StallWatch::new(),
            cold_rate: ColdRateLimiter::default(),
            maybe_cold_since_ms: None,
            was_evacuated: false,
            lookups: Lookups::new(metrics),
            pending: Vec::new(),
            balancers: KnownBalancers::default(),
            knows_all,
            backend_up: true,
            leaving: false,
            silent_since_ms: None,
            refused_since_ms: None,
            refusing: false,
            listens: false,
            doubted: false,
            broke_ms: None,
            lifetime: None,
            last_heard_ms: 0,
            last_probe_ms: 0,
        }
    }

    /// Returns the requests that run or wait at the backend server.
    pub fn busy(&self) -> u32 {
        self.flows.busy_requests()
    }

    /// Returns the mean load of the backend server, for balancers to choose by.
    pub fn load_permille(&mut self, scene: &Scene<'_>) -> u16 {
        self.load.update(self.flows.busy_requests(), scene.now_ms);
        self.steady_load
            .update(self.flows.busy_requests(), scene.now_ms);
        self.note_slots(scene);
        if self.outcomes.is_failing(scene.now_ms) || self.is_stalled(scene.now_ms) {
            // What fails at once looks idle, and would attract what others could serve.
            return FAILING_LOAD_PERMILLE;
        }
        let slots = self.own_slots(scene);
        slots.map_or(UNKNOWN_LOAD_PERMILLE, |slots| self.load.permille(slots))
    }

    /// Returns the flows open at the backend server.
    pub fn open_flows(&self) -> u32 {
        self.flows.open_flows()
    }

    /// Tells whether this agent knows every flow of its backend server.
    pub fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Notes that every flow of the backend server was opened under this agent's eyes.
    pub fn set_knows_all(&mut self) {
        self.knows_all = true;
    }

    /// Tells whether the backend server is believed to be there.
    pub fn backend_up(&self) -> bool {
        self.backend_up
    }

    /// Tells whether [`Keeper::tick`] has something to wait for.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty() || !self.lookups.is_empty() || !self.waiting.is_empty()
    }

    /// Takes a datagram of another process.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet in it is dropped.
    pub fn peer_says(
        &mut self,
        scene: &Scene<'_>,
        from: Ipv4Addr,
        message: &Message,
        payload: &[u8],
    ) -> Result<Vec<Action>> {
        let mut actions = Vec::new();
        let comes_in = matches!(message.kind, MessageKind::Deliver | MessageKind::Offer);
        if comes_in && message.host == from {
            self.balancers.record_message(from, scene.now_ms);
        }
        match message.kind {
            MessageKind::Deliver | MessageKind::HandOn | MessageKind::Offer => {
                let segment = (self.wire.decode)(payload)?;
                if segment.opens {
                    self.opener(scene, &segment, payload, message, &mut actions);
                } else {
                    self.packet(scene, &segment, payload, message, &mut actions);
                }
            }
            MessageKind::Find => {
                let segment = (self.wire.decode)(payload)?;
                self.find(scene, &segment, payload, from, &mut actions);
            }
            MessageKind::Found => self.found(scene, from, payload, &mut actions),
            MessageKind::Absent => {
                if let Some(key) = FlowKey::from_bytes(payload) {
                    let revision = message.digest.highest;
                    self.lookups.record_absent(&key, from, revision);
                    self.conclude(scene, &key, &mut actions);
                }
            }
            MessageKind::Holds
            | MessageKind::Beat
            | MessageKind::BeatReply
            | MessageKind::Unlisted
            | MessageKind::AttemptFailed
            | MessageKind::Greeting
            | MessageKind::Declined => {}
        }
        Ok(actions)
    }

    /// Takes a packet that the backend server sent.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet is dropped.
    pub fn backend_says(&mut self, scene: &Scene<'_>, packet: Vec<u8>) -> Result<Vec<Action>> {
        let segment = (self.wire.decode)(&packet)?;
        self.backend_up = true;
        self.silent_since_ms = None;
        self.refused_since_ms = None;
        self.last_heard_ms = scene.now_ms;
        let mut actions = Vec::new();
        if segment.returned {
            self.metrics.packets_returned.inc();
            self.returned(scene, &segment, packet, &mut actions);
        } else {
            self.answer(scene, &segment, &packet);
            let flow = segment.flow_from_backend();
            actions.push(Action::ToCaller(flow.caller, packet));
        }
        self.serve_waiting(scene, &mut actions);
        Ok(actions)
    }

    /// Does what is due: openers without an answer, packets that were not returned, questions.
    pub fn tick(&mut self, scene: &Scene<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for key in pending {
            if !self.settle(scene, &key, &mut actions) {
                self.pending.push(key);
            }
        }
        self.serve_waiting(scene, &mut actions);
        for key in self.lookups.pending_flows() {
            self.conclude(scene, &key, &mut actions);
        }
        for (host, packet) in self.lookups.due_queries(scene.directory, scene.now_ms) {
            let message = Message::new(MessageKind::Find);
            actions.push(Action::ToPeer(host, message, packet));
        }
        for given_up in self.lookups.take_given_up() {
            log::warn!(
                "event=lookup_given_up flow={} unanswered={} first={:?} newest_revision={} revision={} settled={}",
                given_up.flow,
                given_up.unanswered.len(),
                given_up.unanswered.first(),
                given_up.newest_revision,
                scene.revision,
                scene.settled
            );
        }
        actions
    }

    /// Forgets flows of which nothing was heard for as long as a flow lives.
    pub fn expire(&mut self, now_ms: u64) {
        for _ in 0..self.flows.expire(now_ms) {
            self.doubted = true;
            self.note_failed(now_ms);
        }
    }

    /// Notes a flow; without room for it, what is not noted is no longer known to be absent.
    fn remember(&mut self, key: FlowKey, flow: Flow, now_ms: u64) -> bool {
        let remembered = self.flows.insert(key, flow, now_ms);
        if !remembered {
            self.knows_all = false;
            log::warn!(
                "event=flows_full flow={key} open={}",
                self.flows.open_flows()
            );
        }
        remembered
    }

    fn reset(&self, key: &FlowKey, acknowledgement: u32, code: Code, actions: &mut Vec<Action>) {
        self.metrics.flows_reset.inc(code);
        log::info!("event=flow_reset flow={key} code={}", code.number());
        let packet = (self.wire.reset)(key, acknowledgement);
        actions.push(Action::ToCaller(key.caller, packet));
    }
}

fn tell(kind: MessageKind, key: &FlowKey, host: Ipv4Addr, actions: &mut Vec<Action>) {
    let message = Message::new(kind);
    actions.push(Action::ToPeer(host, message, key.to_bytes().to_vec()));
}

/// Tells a balancer who holds a flow, so that it spares the detour.
fn say_holds(key: &FlowKey, balancer: Ipv4Addr, holder: Ipv4Addr, actions: &mut Vec<Action>) {
    let mut message = Message::new(MessageKind::Holds);
    message.host = holder;
    tell_balancer(message, key, balancer, actions);
}

/// Tells a balancer something of a flow, if one is named.
fn tell_balancer(message: Message, key: &FlowKey, balancer: Ipv4Addr, actions: &mut Vec<Action>) {
    if balancer.is_unspecified() {
        return;
    }
    actions.push(Action::ToPeer(balancer, message, key.to_bytes().to_vec()));
}
