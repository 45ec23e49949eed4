//! An agent's decisions about packets: it alone knows what its backend server holds.
//!
//! Nothing is proof but the backend server itself, which returns each packet of a flow that it does
//! not hold. What the agent remembers saves asking it. See docs/OPAQUE.md, "Finding a flow".

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::code::Code;
use crate::error::Result;
use crate::opaque::action::Action;
use crate::opaque::directory::Directory;
use crate::opaque::flow_map::FlowMap;
use crate::opaque::lookup::{Lookups, Verdict};
use crate::opaque::message::{Message, MessageKind};
use crate::opaque::segment::{FlowKey, Segment, WireFormat};
use crate::placement;
use crate::service_id::ServiceId;
use crate::suspicion::Suspicion;

/// How many flows an agent remembers: eight times the connections of the largest backend servers.
const MAX_FLOWS: usize = 16_384;
/// How long a flow is remembered without a packet, in milliseconds: the longest life of a flow.
const FLOW_MS: u64 = 60_000;
/// How long a flow is remembered after its backend server has ended it, in milliseconds: for its last
/// acknowledgements.
const CLOSED_MS: u64 = 2_000;
/// How long a backend server may take to answer an opener or to return a packet, in milliseconds:
/// it does so in under one, and the agent itself may wait for its share of a core.
const BACKEND_TIMEOUT_MS: u64 = 50;
/// How often a silent backend server is tried with an opener, in milliseconds.
const PROBE_MS: u64 = 200;
/// How long nothing must listen at the backend server's address, and no packet come from there, before
/// its process counts as ended, in milliseconds: the connection attempt is repeated meanwhile.
const REFUSED_MS: u64 = 150;
/// How long a backend server that is no longer published must have sent nothing before its agent, when
/// it is stopped, takes its flows for gone, in milliseconds: some copies of a packet that waits.
const STILL_MS: u64 = 500;
/// By how many agents an opener may be passed on.
const MAX_HOPS: u8 = 8;
/// The requests for each slot, running or waiting, from which a backend server takes no opener: with
/// one waiting behind each running one, what is taken still ends within about two service times.
const CROWDED_PER_SLOT: u32 = 2;
/// How long a taken opener counts as a request before its caller has sent one, in milliseconds.
const EXPECTED_MS: u64 = 500;
/// The number of the last copy that a caller sends of an opener.
const LAST_COPY: u32 = 2;

/// What the agent knows of one flow.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Holding {
    /// The backend server was handed the opener; whether the flow opens here is the caller's choice.
    Opening(Opening),
    /// The backend server took a packet of it; `since_ms` while it may still return it.
    Unconfirmed {
        since_ms: u64,
        asker: Option<Ipv4Addr>,
    },
    /// It is open here.
    Open,
    /// Another agent said that it holds it.
    Elsewhere(Ipv4Addr),
    /// It is not here, for certain.
    Absent,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Opening {
    since_ms: u64,
    packet: Vec<u8>,
    balancer: Ipv4Addr,
    hops: u8,
    copy: u32,
    answered: bool,
    backend_sequence: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Flow {
    holding: Holding,
    seen_ms: u64,
    caller_acknowledgement: u32,
    busy: bool,
    closed: bool,
    /// Whether the backend server showed that it holds the flow; silence shows nothing.
    shown: bool,
}

/// What an agent looks at while it decides.
pub struct Scene<'a> {
    /// The published backend servers and routes.
    pub directory: &'a Directory,
    /// Who is believed to be dead.
    pub suspicion: &'a mut Suspicion,
    /// The highest revision in force here.
    pub revision: u64,
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
}

/// The flows of one agent, and what they ask of it.
#[derive(Debug)]
pub struct Keeper {
    wire: WireFormat,
    identity: KeeperIdentity,
    flows: FlowMap<Flow>,
    lookups: Lookups,
    pending: Vec<FlowKey>,
    knows_all: bool,
    backend_up: bool,
    leaving: bool,
    silent_since_ms: Option<u64>,
    refused_since_ms: Option<u64>,
    refusing: bool,
    last_heard_ms: u64,
    last_probe_ms: u64,
    busy: u32,
    open_flows: u32,
}

impl Keeper {
    /// Makes the keeper of an agent; `knows_all` where no flow can be older than it.
    pub fn new(wire: WireFormat, identity: KeeperIdentity, knows_all: bool) -> Self {
        Self {
            wire,
            identity,
            flows: FlowMap::new(MAX_FLOWS),
            lookups: Lookups::default(),
            pending: Vec::new(),
            knows_all,
            backend_up: true,
            leaving: false,
            silent_since_ms: None,
            refused_since_ms: None,
            refusing: false,
            last_heard_ms: 0,
            last_probe_ms: 0,
            busy: 0,
            open_flows: 0,
        }
    }

    /// Returns the requests that run or wait at the backend server.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the flows open at the backend server.
    pub fn open_flows(&self) -> u32 {
        self.open_flows
    }

    /// Tells whether this agent knows every flow of its backend server.
    pub fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Notes that every flow of the backend server was opened under this agent's eyes.
    pub fn set_knows_all(&mut self) {
        self.knows_all = true;
    }

    /// Tells whether [`Keeper::tick`] has something to wait for.
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty() || !self.lookups.is_empty()
    }

    /// Takes a datagram of another process.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet in it is dropped.
    pub fn peer_says(
        &mut self,
        scene: &mut Scene<'_>,
        from: Ipv4Addr,
        message: &Message,
        payload: &[u8],
    ) -> Result<Vec<Action>> {
        let mut actions = Vec::new();
        match message.kind {
            MessageKind::Deliver | MessageKind::HandOn => {
                let segment = (self.wire.decode)(payload)?;
                if segment.opens {
                    self.opener(scene, &segment, payload, message, &mut actions);
                } else {
                    self.packet(scene, &segment, payload, message.host, &mut actions);
                }
            }
            MessageKind::Find => {
                let segment = (self.wire.decode)(payload)?;
                self.find(scene, &segment, payload, from, &mut actions);
            }
            MessageKind::Found | MessageKind::Absent => {
                self.answered(scene, from, message, payload, &mut actions);
            }
            MessageKind::Holds | MessageKind::Beat | MessageKind::BeatReply => {}
        }
        Ok(actions)
    }

    /// Takes a packet that the backend server sent.
    ///
    /// # Errors
    ///
    /// Returns the code for which the packet is dropped.
    pub fn backend_says(&mut self, scene: &mut Scene<'_>, packet: Vec<u8>) -> Result<Vec<Action>> {
        let segment = (self.wire.decode)(&packet)?;
        self.backend_up = true;
        self.silent_since_ms = None;
        self.refused_since_ms = None;
        self.last_heard_ms = scene.now_ms;
        let mut actions = Vec::new();
        if segment.returned {
            self.returned(scene, &segment, packet, &mut actions);
        } else {
            self.answer(scene.now_ms, &segment);
            let flow = segment.flow_from_backend();
            actions.push(Action::ToCaller(flow.caller, packet));
        }
        Ok(actions)
    }

    /// Notes that nothing listens at the backend server's address.
    ///
    /// One that drains stops listening long before it has ended its flows, so that this is proof only
    /// of one that should be there.
    pub fn backend_refuses(&mut self, scene: &mut Scene<'_>) -> Vec<Action> {
        self.refusing = true;
        let own = scene.directory.own(self.identity.backend, scene.now_ms);
        if own.is_some_and(|own| !own.takes_flows) {
            return Vec::new();
        }
        let since_ms = *self.refused_since_ms.get_or_insert(scene.now_ms);
        if scene.now_ms < since_ms + REFUSED_MS {
            return Vec::new();
        }
        self.backend_ended(scene)
    }

    /// Notes that the process stops, and takes no new flow from now on.
    ///
    /// The agent of a backend server that has left is stopped after it, so that flows which still seem
    /// open there are gone.
    pub fn leave(&mut self, scene: &mut Scene<'_>) -> Vec<Action> {
        self.leaving = true;
        let own = scene.directory.own(self.identity.backend, scene.now_ms);
        let gone = own.is_some_and(|own| own.is_gone && !own.takes_flows);
        let silent = scene.now_ms >= self.last_heard_ms + STILL_MS;
        if gone && silent && self.refusing {
            return self.backend_ended(scene);
        }
        Vec::new()
    }

    /// Ends all flows of a backend server whose process is gone at once, so that their callers open
    /// new ones instead of waiting.
    fn backend_ended(&mut self, scene: &mut Scene<'_>) -> Vec<Action> {
        self.knows_all = true;
        if !std::mem::replace(&mut self.backend_up, false) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let mut ended = Vec::new();
        let mut openers = Vec::new();
        self.flows.retain(|key, flow| {
            match &flow.holding {
                _ if flow.closed => {}
                Holding::Opening(opening) => openers.push((*key, opening.clone())),
                Holding::Open if flow.shown => {
                    ended.push((*key, flow.caller_acknowledgement));
                }
                // Another backend server may hold what this one never showed.
                Holding::Open | Holding::Unconfirmed { .. } => {}
                Holding::Elsewhere(_) | Holding::Absent => return true,
            }
            false
        });
        log::info!(
            "event=backend_ended flows={} openers={}",
            ended.len(),
            openers.len()
        );
        self.pending.clear();
        self.busy = 0;
        self.open_flows = 0;
        for (key, acknowledgement) in ended {
            self.reset(&key, acknowledgement, Code::BackendGone, &mut actions);
        }
        for (key, opening) in openers {
            self.hand_on(scene, &key, opening, &mut actions);
        }
        actions
    }

    /// Notes that something listens at the backend server's address.
    pub fn backend_listens(&mut self) {
        self.backend_up = true;
        self.refusing = false;
        self.refused_since_ms = None;
    }

    /// Does what is due: openers without an answer, packets that were not returned, questions.
    pub fn tick(&mut self, scene: &mut Scene<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for key in pending {
            if !self.settle(scene, &key, &mut actions) {
                self.pending.push(key);
            }
        }
        for (host, packet) in self.lookups.due(scene.directory, scene.now_ms) {
            let message = Message::new(MessageKind::Find);
            actions.push(Action::ToPeer(host, message, packet));
        }
        actions
    }

    /// Forgets flows of which nothing was heard for as long as a flow lives.
    pub fn expire(&mut self, now_ms: u64) {
        let (mut busy, mut open_flows) = (0, 0);
        self.flows.retain(|_, flow| {
            let kept_ms = if flow.closed { CLOSED_MS } else { FLOW_MS };
            let keeps = now_ms < flow.seen_ms + kept_ms;
            if let Holding::Opening(opening) = &flow.holding {
                flow.busy &= now_ms < opening.since_ms + EXPECTED_MS;
            }
            if keeps && !flow.closed {
                open_flows += u32::from(flow.holding == Holding::Open);
                busy += u32::from(flow.busy);
            }
            keeps
        });
        self.busy = busy;
        self.open_flows = open_flows;
    }

    /// Takes an opener, or passes it on.
    fn opener(
        &mut self,
        scene: &mut Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let opening = Opening {
            since_ms: scene.now_ms,
            packet: packet.to_vec(),
            balancer: message.host,
            hops: message.hops,
            copy: segment.acknowledgement,
            answered: false,
            backend_sequence: 0,
        };
        let known = self.flows.get(&key).map(|flow| &flow.holding);
        let is_copy = matches!(known, Some(Holding::Opening(_) | Holding::Open));
        if !is_copy && !self.takes_opener(scene, &key) {
            if message.kind == MessageKind::Deliver && !message.host.is_unspecified() {
                let alive = Message::new(MessageKind::Absent);
                actions.push(Action::ToPeer(message.host, alive, key.to_bytes().to_vec()));
            }
            self.hand_on(scene, &key, opening, actions);
            return;
        }
        if !is_copy {
            let flow = Flow {
                holding: Holding::Opening(opening),
                seen_ms: scene.now_ms,
                caller_acknowledgement: 0,
                busy: true,
                closed: false,
                shown: false,
            };
            if !self.flows.insert(key, flow) {
                return;
            }
            self.busy += 1;
            self.lookups.forget(&key);
            self.pending.push(key);
        }
        self.say_holds(&key, message.host, self.identity.host, actions);
        actions.push(Action::ToBackend(packet.to_vec()));
    }

    fn takes_opener(&mut self, scene: &Scene<'_>, key: &FlowKey) -> bool {
        if self.leaving || !self.backend_up {
            return false;
        }
        let route = scene.directory.routes().get(key.called);
        let service = route.and_then(|route| route.service(key.hash()));
        if service != Some(self.identity.service) {
            return false;
        }
        let own = scene.directory.own(self.identity.backend, scene.now_ms);
        let published =
            own.is_some_and(|own| own.takes_flows && own.service == self.identity.service);
        if !published {
            return false;
        }
        if self.silent_since_ms.is_some() {
            let due = scene.now_ms >= self.last_probe_ms + PROBE_MS;
            if due {
                self.last_probe_ms = scene.now_ms;
            }
            return due;
        }
        !self.is_crowded(scene)
    }

    fn is_crowded(&self, scene: &Scene<'_>) -> bool {
        let table = scene.directory.table(self.identity.service);
        let row = table.and_then(|table| table.row_on(self.identity.host));
        row.is_some_and(|row| self.busy >= row.slots * CROWDED_PER_SLOT)
    }

    /// Passes an opener to the agent after this one in the flow's order, if there is one left.
    ///
    /// Otherwise its caller sends another copy, for which there may be room; only of the last copy is
    /// it told that nobody takes it, since it has but few attempts.
    fn hand_on(
        &mut self,
        scene: &mut Scene<'_>,
        key: &FlowKey,
        opening: Opening,
        actions: &mut Vec<Action>,
    ) {
        let next = self.next_host(scene, key, opening.hops);
        match next {
            Some(host) => {
                let mut message = Message::new(MessageKind::HandOn);
                message.host = opening.balancer;
                message.hops = opening.hops + 1;
                log::debug!(
                    "event=opener_handed_on flow={key} to={host} hops={}",
                    message.hops
                );
                actions.push(Action::ToPeer(host, message, opening.packet));
            }
            None if opening.copy >= LAST_COPY => self.reset(key, 0, Code::NoRoom, actions),
            None => log::debug!("event=opener_dropped flow={key} copy={}", opening.copy),
        }
    }

    fn next_host(&self, scene: &Scene<'_>, key: &FlowKey, hops: u8) -> Option<Ipv4Addr> {
        let route = scene.directory.routes().get(key.called)?;
        let service = route.service(key.hash())?;
        let table = scene.directory.table(service)?;
        let me = self.identity.host;
        let order = placement::ranked(table, key.hash(), |row| {
            let trusted = !scene.suspicion.is_suspected(row.host, scene.now_ms);
            row.host == me || (row.weight > 0 && trusted)
        });
        let others = order.iter().filter(|row| row.host != me).count();
        if others == 0 || usize::from(hops) >= others.min(usize::from(MAX_HOPS)) {
            return None;
        }
        let own = order.iter().position(|row| row.host == me);
        let next = own.map_or(0, |own| (own + 1) % order.len());
        Some(order[next].host)
    }

    /// Takes any other packet of a caller.
    fn packet(
        &mut self,
        scene: &mut Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.deliver_held(scene.now_ms, segment, packet, actions) {
            return;
        }
        let holding = self.flows.get(&key).map(|flow| flow.holding.clone());
        match holding {
            Some(Holding::Elsewhere(host)) if scene.directory.is_current(host) => {
                if let Some(flow) = self.flows.get_mut(&key) {
                    flow.seen_ms = scene.now_ms;
                }
                let message = Message::new(MessageKind::Deliver);
                self.say_holds(&key, balancer, host, actions);
                actions.push(Action::ToPeer(host, message, packet.to_vec()));
            }
            None if !self.knows_all => self.try_backend(scene, segment, packet, None, actions),
            _ => self.look_up(scene, segment, packet, balancer, actions),
        }
    }

    /// Hands a packet to the backend server if the flow is known to be held there.
    fn deliver_held(
        &mut self,
        now_ms: u64,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) -> bool {
        let key = segment.flow_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        match &flow.holding {
            Holding::Open | Holding::Unconfirmed { .. } => {}
            Holding::Opening(opening) => {
                // The caller opens the flow at the server whose number it acknowledges.
                let chosen = segment
                    .acknowledgement
                    .wrapping_sub(opening.backend_sequence)
                    <= 1;
                if opening.answered && !chosen {
                    flow.holding = Holding::Absent;
                    self.busy = self.busy.saturating_sub(u32::from(flow.busy));
                    flow.busy = false;
                    return false;
                }
                flow.shown = opening.answered;
                flow.holding = Holding::Open;
                self.open_flows += 1;
            }
            Holding::Elsewhere(_) | Holding::Absent => return false,
        }
        flow.seen_ms = now_ms;
        flow.caller_acknowledgement = segment.acknowledgement;
        if segment.payload_bytes > 0 && !flow.busy {
            flow.busy = true;
            self.busy += 1;
        }
        actions.push(Action::ToBackend(packet.to_vec()));
        true
    }

    /// Hands a packet of an unknown flow to the backend server, which returns it if it must.
    fn try_backend(
        &mut self,
        scene: &Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        asker: Option<Ipv4Addr>,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        let flow = Flow {
            holding: Holding::Unconfirmed {
                since_ms: scene.now_ms,
                asker,
            },
            seen_ms: scene.now_ms,
            caller_acknowledgement: segment.acknowledgement,
            busy: false,
            closed: false,
            shown: false,
        };
        if self.flows.insert(key, flow) {
            self.pending.push(key);
        }
        actions.push(Action::ToBackend(packet.to_vec()));
    }

    /// Asks all other agents who holds a flow.
    fn look_up(
        &mut self,
        scene: &mut Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        balancer: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if segment.resets {
            return;
        }
        let asked = self.lookups.start(
            scene.directory,
            self.identity.host,
            segment,
            packet,
            balancer,
            scene.now_ms,
        );
        for host in asked {
            let message = Message::new(MessageKind::Find);
            actions.push(Action::ToPeer(host, message, packet.to_vec()));
        }
        self.conclude(scene, &key, actions);
    }

    /// Answers whether a flow is held here, and delivers its packet if so.
    fn find(
        &mut self,
        scene: &mut Scene<'_>,
        segment: &Segment,
        packet: &[u8],
        asker: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        let key = segment.flow_from_caller();
        if self.deliver_held(scene.now_ms, segment, packet, actions) {
            self.tell(MessageKind::Found, &key, asker, actions);
            return;
        }
        if self.flows.get(&key).is_none() && !self.knows_all && self.backend_up {
            self.try_backend(scene, segment, packet, Some(asker), actions);
        } else {
            self.tell(MessageKind::Absent, &key, asker, actions);
        }
    }

    fn answered(
        &mut self,
        scene: &mut Scene<'_>,
        from: Ipv4Addr,
        message: &Message,
        payload: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = FlowKey::from_bytes(payload) else {
            return;
        };
        match message.kind {
            MessageKind::Found => {
                let Some(lookup) = self.lookups.found(&key) else {
                    return;
                };
                log::debug!("event=flow_found flow={key} host={from}");
                self.say_holds(&key, lookup.balancer, from, actions);
                let flow = Flow {
                    holding: Holding::Elsewhere(from),
                    seen_ms: scene.now_ms,
                    caller_acknowledgement: lookup.acknowledgement,
                    busy: false,
                    closed: false,
                    shown: false,
                };
                self.flows.insert(key, flow);
            }
            _ => {
                self.lookups.absent(&key, from, message.digest.highest);
                self.conclude(scene, &key, actions);
            }
        }
    }

    /// Ends a flow of which it is proved that nobody holds it.
    fn conclude(&mut self, scene: &Scene<'_>, key: &FlowKey, actions: &mut Vec<Action>) {
        let verdict = self.lookups.verdict(key, scene.directory, scene.revision);
        if let Verdict::Nowhere { acknowledgement } = verdict {
            self.lookups.forget(key);
            self.reset(key, acknowledgement, Code::FlowGone, actions);
        }
    }

    /// Takes a packet that the backend server returned.
    fn returned(
        &mut self,
        scene: &mut Scene<'_>,
        segment: &Segment,
        mut packet: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        (self.wire.restore)(&mut packet);
        let key = segment.flow_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if segment.opens && !matches!(flow.holding, Holding::Opening(_)) {
            // A late copy of an opener whose flow has opened already, here or elsewhere.
            return;
        }
        let holding = std::mem::replace(&mut flow.holding, Holding::Absent);
        let (was_busy, was_closed) = (flow.busy, flow.closed);
        flow.busy = false;
        match holding {
            Holding::Opening(opening) => {
                self.flows.remove(&key);
                self.busy = self.busy.saturating_sub(u32::from(was_busy));
                self.hand_on(scene, &key, opening, actions);
            }
            Holding::Unconfirmed {
                asker: Some(asker), ..
            } => self.tell(MessageKind::Absent, &key, asker, actions),
            holding => {
                if holding == Holding::Open && !was_closed {
                    self.open_flows = self.open_flows.saturating_sub(1);
                    self.busy = self.busy.saturating_sub(u32::from(was_busy));
                }
                self.look_up(scene, segment, &packet, Ipv4Addr::UNSPECIFIED, actions);
            }
        }
    }

    /// Notes what an answer of the backend server tells of its flow.
    fn answer(&mut self, now_ms: u64, segment: &Segment) {
        let key = segment.flow_from_backend();
        let Some(flow) = self.flows.get_mut(&key) else {
            if !segment.resets && !segment.accepts {
                let flow = Flow {
                    holding: Holding::Open,
                    seen_ms: now_ms,
                    caller_acknowledgement: segment.sequence,
                    busy: false,
                    closed: false,
                    shown: true,
                };
                if self.flows.insert(key, flow) {
                    self.open_flows += 1;
                }
            }
            return;
        };
        flow.seen_ms = now_ms;
        flow.shown |= !segment.accepts;
        match &mut flow.holding {
            Holding::Opening(opening) if segment.accepts => {
                opening.answered = true;
                opening.backend_sequence = segment.sequence;
            }
            Holding::Opening(_) | Holding::Open => {}
            holding => {
                *holding = Holding::Open;
                self.open_flows += 1;
            }
        }
        if segment.payload_bytes > 0 && flow.busy {
            flow.busy = false;
            self.busy = self.busy.saturating_sub(1);
        }
        if (segment.ends || segment.resets) && !flow.closed {
            flow.closed = true;
            self.open_flows = self.open_flows.saturating_sub(1);
            self.busy = self.busy.saturating_sub(u32::from(flow.busy));
            flow.busy = false;
        }
    }

    /// Does what is due for one flow; says whether nothing more is awaited.
    fn settle(&mut self, scene: &mut Scene<'_>, key: &FlowKey, actions: &mut Vec<Action>) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return true;
        };
        match &mut flow.holding {
            Holding::Opening(opening) if !opening.answered => {
                if scene.now_ms < opening.since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                let opening = opening.clone();
                let first = self.silent_since_ms.replace(opening.since_ms).is_none();
                if first {
                    log::warn!("event=backend_silent flow={key} waited_ms={BACKEND_TIMEOUT_MS}");
                }
                self.hand_on(scene, key, opening, actions);
            }
            Holding::Unconfirmed { since_ms, asker } => {
                if scene.now_ms < *since_ms + BACKEND_TIMEOUT_MS {
                    return false;
                }
                let asker = *asker;
                flow.holding = Holding::Open;
                self.open_flows += 1;
                if let Some(asker) = asker {
                    self.tell(MessageKind::Found, key, asker, actions);
                }
            }
            _ => {}
        }
        true
    }

    fn reset(&self, key: &FlowKey, acknowledgement: u32, code: Code, actions: &mut Vec<Action>) {
        log::info!("event=flow_reset flow={key} code={}", code.number());
        let packet = (self.wire.reset)(key, acknowledgement);
        actions.push(Action::ToCaller(key.caller, packet));
    }

    fn tell(&self, kind: MessageKind, key: &FlowKey, host: Ipv4Addr, actions: &mut Vec<Action>) {
        let message = Message::new(kind);
        actions.push(Action::ToPeer(host, message, key.to_bytes().to_vec()));
    }

    /// Tells a balancer who holds a flow, so that it spares the detour.
    fn say_holds(
        &self,
        key: &FlowKey,
        balancer: Ipv4Addr,
        holder: Ipv4Addr,
        actions: &mut Vec<Action>,
    ) {
        if balancer.is_unspecified() {
            return;
        }
        let mut message = Message::new(MessageKind::Holds);
        message.host = holder;
        actions.push(Action::ToPeer(balancer, message, key.to_bytes().to_vec()));
    }
}
