//! A model of a whole site in which messages are delayed, lost and doubled, processes die, and the platform comes back
//! from older copies: no flow that a backend server holds is ever reset, and no packet reaches one that it was not
//! written for.

use std::net::Ipv4Addr;

use endivedyke::opaque::{
    Action, AgentContext, Directory, FlowAgent, FlowKey, Forwarder, Message, MessageKind,
    OpaqueMetrics,
};
use endivedyke::{Revision, Suspicion};
use proptest::prelude::*;

use crate::builder::{
    BALANCER, FLOW_LIFETIME_MS, WIRE, ZONE, acceptance, directory, flow, host, identity, index_of,
    opener, remove_entry, request, returned_packet,
};

/// Few agents, which are all asked at once, and enough that only the likely ones are asked first.
const FEW: u16 = 4;
const MANY: u16 = 36;
/// When a caller sends the last copy of an opener, in milliseconds after the first.
const LAST_COPY_MS: u64 = 600;
/// How many datagrams one event delivers at most.
const MAX_DELIVERED: usize = 400;
const REVISION: u64 = MANY as u64;
/// The number that the platform shows after a return: it is lower than before.
const RESTORED_NUMBER: u64 = REVISION / 2;
/// Within how long after a return backend servers have written their entries again, in milliseconds.
const WRITTEN_AGAIN_MS: u64 = 2_000;
/// For how long after it nothing is proved by what is not published, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// A backend server: its flows end with its process.
#[derive(Debug, Default)]
struct BackendModel {
    up: bool,
    half_open: Vec<FlowKey>,
    open: Vec<FlowKey>,
}

struct AgentModel {
    flow_agent: FlowAgent,
    backend: BackendModel,
    suspicion: Suspicion,
    /// The era of the platform that it knows.
    era: u64,
    /// Whether all that it knows is what the platform showed after a return.
    started_on_copy: bool,
}

/// The last return of the platform.
#[derive(Debug)]
struct Restored {
    since_ms: u64,
    /// What the copy shows: a backend server is missing there.
    directory: Directory,
}

/// A datagram on its way between processes.
#[derive(Debug, Clone)]
struct InFlight {
    from: Ipv4Addr,
    to: Ipv4Addr,
    message: Message,
    payload: Vec<u8>,
}

/// Which hosts can't send to the others; who is cut off differs from one direction to the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Cut {
    /// One in so many hosts is beyond it; nobody is for 0.
    every: u16,
    /// Whether those beyond it still reach the others.
    one_way: bool,
}

impl Cut {
    /// Tells whether a host stands beyond the cut; the balancer never does.
    fn is_beyond(self, host: Ipv4Addr) -> bool {
        host != BALANCER && index_of(host).checked_rem(self.every) == Some(0)
    }

    fn stops(self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        match (self.is_beyond(from), self.is_beyond(to)) {
            (false, true) => true,
            (true, false) => !self.one_way,
            _ => false,
        }
    }
}

struct SiteModel {
    directory: Directory,
    era: u64,
    restored: Option<Restored>,
    cut: Cut,
    agents: Vec<AgentModel>,
    balancer: Forwarder,
    in_flight: Vec<InFlight>,
    now_ms: u64,
    first_opener_ms: Vec<(FlowKey, u64)>,
    accepted: Vec<(FlowKey, u32)>,
    in_use: Vec<FlowKey>,
    wrong_resets: Vec<FlowKey>,
}

#[derive(Debug, Clone)]
enum Event {
    Open(u16),
    Request(u16),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    RestartBalancer,
    RestartAgent(u16),
    RestartBackend(u16),
    StopBackend(u16),
    Refuse(u16),
    Pass(u64),
    /// An opener reaches an agent that was its owner by an older table.
    OpenAt(u16, u16),
    /// Everything on its way arrives, and what follows from it.
    DeliverAll,
    Cut(u16, bool),
    Heal,
    /// The platform comes back from a copy without the entry of this backend server.
    Restore(u16),
    /// An agent learns of the return.
    Learn(u16),
}

fn event(hosts: u16) -> impl Strategy<Value = Event> {
    let port = 1_u16..6;
    let index = 1_u16..=hosts;
    prop_oneof![
        3 => port.clone().prop_map(Event::Open),
        4 => port.prop_map(Event::Request),
        12 => any::<usize>().prop_map(Event::Deliver),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => any::<usize>().prop_map(Event::Double),
        1 => Just(Event::RestartBalancer),
        1 => index.clone().prop_map(Event::RestartAgent),
        1 => index.clone().prop_map(Event::RestartBackend),
        1 => index.clone().prop_map(Event::StopBackend),
        1 => index.prop_map(Event::Refuse),
        4 => (1_u64..300).prop_map(Event::Pass),
    ]
}

/// The same, and cuts between hosts, which heal, with flows where nobody expects them.
fn event_or_cut(hosts: u16) -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => event(hosts),
        4 => (1_u16..6, 1..=hosts).prop_map(|(port, index)| Event::OpenAt(port, index)),
        4 => Just(Event::DeliverAll),
        1 => (2_u16..4, any::<bool>()).prop_map(|(every, one_way)| Event::Cut(every, one_way)),
        1 => Just(Event::Heal),
    ]
}

/// The same, and returns of the platform from older copies.
fn event_or_restore(hosts: u16) -> impl Strategy<Value = Event> {
    let index = 1_u16..=hosts;
    prop_oneof![
        30 => event_or_cut(hosts),
        1 => index.clone().prop_map(Event::Restore),
        3 => index.clone().prop_map(Event::Learn),
        3 => index.prop_map(Event::RestartAgent),
    ]
}

fn sequence_of(index: u16) -> u32 {
    u32::from(index) * 100_000
}

fn flow_agent(index: u16, knows_all_flows: bool) -> FlowAgent {
    FlowAgent::new(
        WIRE,
        identity(index),
        knows_all_flows,
        &OpaqueMetrics::default(),
    )
}

impl SiteModel {
    fn new(hosts: u16) -> Self {
        let agents = (1..=hosts).map(|index| AgentModel {
            flow_agent: flow_agent(index, true),
            backend: BackendModel {
                up: true,
                ..BackendModel::default()
            },
            suspicion: Suspicion::default(),
            era: 0,
            started_on_copy: false,
        });
        Self {
            directory: directory(hosts),
            era: 0,
            restored: None,
            cut: Cut::default(),
            agents: agents.collect(),
            balancer: Forwarder::new(
                WIRE,
                BALANCER,
                ZONE,
                FLOW_LIFETIME_MS,
                &OpaqueMetrics::default(),
            ),
            in_flight: Vec::new(),
            now_ms: 1_000,
            first_opener_ms: Vec::new(),
            accepted: Vec::new(),
            in_use: Vec::new(),
            wrong_resets: Vec::new(),
        }
    }

    fn step(&mut self, event: &Event) {
        match event {
            Event::Open(port) => self.open(&flow(*port)),
            Event::Request(port) => self.request(&flow(*port)),
            Event::Deliver(at) => {
                if let Some(at) = at.checked_rem(self.in_flight.len()) {
                    let datagram = self.in_flight.remove(at);
                    self.arrive(&datagram);
                }
            }
            Event::Lose(at) => {
                if let Some(at) = at.checked_rem(self.in_flight.len()) {
                    self.in_flight.remove(at);
                }
            }
            Event::Double(at) => {
                if let Some(at) = at.checked_rem(self.in_flight.len()) {
                    self.in_flight.push(self.in_flight[at].clone());
                }
            }
            Event::RestartBalancer => {
                self.balancer = Forwarder::new(
                    WIRE,
                    BALANCER,
                    ZONE,
                    FLOW_LIFETIME_MS,
                    &OpaqueMetrics::default(),
                )
            }
            Event::RestartAgent(index) => {
                let agent = &mut self.agents[usize::from(*index) - 1];
                agent.flow_agent = flow_agent(*index, false);
                agent.era = self.era;
                agent.started_on_copy = self.restored.is_some();
            }
            Event::RestartBackend(index) => {
                self.agents[usize::from(*index) - 1].backend = BackendModel {
                    up: true,
                    ..BackendModel::default()
                };
            }
            Event::StopBackend(index) => {
                self.agents[usize::from(*index) - 1].backend = BackendModel::default();
            }
            Event::Refuse(index) => {
                if !self.agents[usize::from(*index) - 1].backend.up {
                    self.decide(*index, |agent, context| {
                        agent.handle_backend_refused(context)
                    });
                }
            }
            Event::Pass(ms) => self.pass(*ms),
            Event::OpenAt(port, index) => self.open_at(&flow(*port), host(*index)),
            Event::DeliverAll => {
                // Whatever they answer is on its way too, but no more than this.
                for _ in 0..MAX_DELIVERED {
                    let Some(datagram) = self.in_flight.pop() else {
                        break;
                    };
                    self.arrive(&datagram);
                }
            }
            Event::Cut(every, one_way) => {
                self.cut = Cut {
                    every: *every,
                    one_way: *one_way,
                };
            }
            Event::Heal => self.cut = Cut::default(),
            Event::Restore(missing) => self.restore(*missing),
            Event::Learn(index) => self.agents[usize::from(*index) - 1].era = self.era,
        }
    }

    fn restore(&mut self, missing: u16) {
        let mut copy = directory(self.agents.len() as u16);
        remove_entry(&mut copy, missing, REVISION + 1, 0);
        copy.expire(u64::MAX / 2, 0);
        self.era += 1;
        self.restored = Some(Restored {
            since_ms: self.now_ms,
            directory: copy,
        });
    }

    /// Returns the highest revision that a process knows; the balancer learns of no return.
    fn revision_of(&self, host: Ipv4Addr) -> Revision {
        if host == BALANCER {
            return REVISION.into();
        }
        match self.agents[usize::from(index_of(host)) - 1].era {
            0 => REVISION.into(),
            era => Revision::new(era, RESTORED_NUMBER).expect("small"),
        }
    }

    fn note_opener(&mut self, key: &FlowKey) {
        if !self.first_opener_ms.iter().any(|(known, _)| known == key) {
            self.first_opener_ms.push((*key, self.now_ms));
        }
    }

    /// Tells whether a caller still sends copies of its opener: for a while, and none once it uses the flow.
    fn may_open(&self, key: &FlowKey) -> bool {
        let first = self.first_opener_ms.iter().find(|(known, _)| known == key);
        let in_time = first.is_some_and(|(_, first_ms)| self.now_ms <= first_ms + LAST_COPY_MS);
        in_time && !self.in_use.contains(key)
    }

    fn open(&mut self, key: &FlowKey) {
        self.note_opener(key);
        if self.may_open(key) {
            self.caller_sends(opener(key, 0));
        }
    }

    /// The same, where the balancer that forwards it has another table.
    fn open_at(&mut self, key: &FlowKey, to: Ipv4Addr) {
        self.note_opener(key);
        if self.may_open(key) {
            let mut message = Message::new(MessageKind::Deliver);
            message.host = BALANCER;
            let payload = opener(key, 0);
            self.perform(BALANCER, vec![Action::ToPeer(to, message, payload)]);
        }
    }

    /// A caller goes on with a flow that some backend server accepted.
    fn request(&mut self, key: &FlowKey) {
        let accepted = self.accepted.iter().find(|(known, _)| known == key);
        if let Some((_, sequence)) = accepted {
            let packet = request(key, sequence + 1);
            self.in_use.push(*key);
            self.caller_sends(packet);
        }
    }

    fn caller_sends(&mut self, packet: Vec<u8>) {
        let mut suspicion = Suspicion::default();
        let action = self
            .balancer
            .handle(&self.directory, &mut suspicion, packet, self.now_ms);
        self.perform(BALANCER, action.into_iter().collect());
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for index in 1..=self.agents.len() as u16 {
            self.decide(index, |agent, context| agent.tick(context));
        }
    }

    fn arrive(&mut self, datagram: &InFlight) {
        if self.cut.stops(datagram.from, datagram.to) {
            return;
        }
        if datagram.to == BALANCER {
            self.balancer_hears(datagram);
            return;
        }
        let index = index_of(datagram.to);
        let InFlight {
            from,
            message,
            payload,
            ..
        } = datagram.clone();
        self.decide(index, |agent, context| {
            agent
                .handle_peer_message(context, from, &message, &payload)
                .unwrap_or_default()
        });
    }

    /// The balancer notes who holds a flow.
    fn balancer_hears(&mut self, datagram: &InFlight) {
        let InFlight {
            message, payload, ..
        } = datagram;
        // The payload names the flow: the caller's address and port come first.
        let (MessageKind::Holds, &[_, _, _, _, high, low, ..]) = (message.kind, &payload[..])
        else {
            return;
        };
        let key = flow(u16::from_be_bytes([high, low]));
        if message.has_opened {
            self.balancer.record_opened(key, message.host, self.now_ms);
        } else {
            self.balancer.record_holder(key, message.host, self.now_ms);
        }
    }

    fn decide(
        &mut self,
        index: u16,
        decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> Vec<Action>,
    ) {
        let revision = self.revision_of(host(index));
        let agent = &mut self.agents[usize::from(index) - 1];
        let restored = self.restored.as_ref();
        let restored = restored.filter(|_| agent.era == self.era);
        let passed_ms = restored.map(|restored| self.now_ms - restored.since_ms);
        let copy = restored.filter(|_| agent.started_on_copy);
        let copy = copy.filter(|_| passed_ms < Some(WRITTEN_AGAIN_MS));
        let context = AgentContext {
            directory: copy.map_or(&self.directory, |restored| &restored.directory),
            suspicion: &agent.suspicion,
            revision,
            is_settled: passed_ms.is_none_or(|passed_ms| passed_ms >= SETTLE_MS),
            now_ms: self.now_ms,
        };
        let actions = decide(&mut agent.flow_agent, &context);
        self.perform(host(index), actions);
    }

    fn perform(&mut self, from: Ipv4Addr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ToBackend(packet) => self.backend_takes(index_of(from), packet),
                Action::ToCaller(_, packet) => self.caller_takes(&packet),
                Action::ToPeer(to, mut message, payload) => {
                    message.digest.highest = self.revision_of(from);
                    self.in_flight.push(InFlight {
                        from,
                        to,
                        message,
                        payload,
                    });
                }
            }
        }
    }

    fn backend_takes(&mut self, index: u16, packet: Vec<u8>) {
        let segment = (WIRE.decode)(&packet).expect("sound packet");
        let key = segment.flow_from_caller();
        let backend = &mut self.agents[usize::from(index) - 1].backend;
        if !backend.up {
            return;
        }
        let answer = if segment.opens {
            if !backend.open.contains(&key) && !backend.half_open.contains(&key) {
                backend.half_open.push(key);
            }
            Some(acceptance(&key, sequence_of(index)))
        } else if backend.open.contains(&key) {
            None
        } else if backend.half_open.contains(&key)
            && segment.acknowledgement == sequence_of(index) + 1
        {
            backend.half_open.retain(|known| *known != key);
            backend.open.push(key);
            None
        } else {
            Some(returned_packet(packet))
        };
        if let Some(answer) = answer {
            self.decide(index, |agent, context| {
                agent
                    .handle_backend_packet(context, answer)
                    .unwrap_or_default()
            });
        }
    }

    fn caller_takes(&mut self, packet: &[u8]) {
        let segment = (WIRE.decode)(packet).expect("sound packet");
        let key = segment.flow_from_backend();
        if segment.accepts && !self.accepted.iter().any(|(known, _)| *known == key) {
            self.accepted.push((key, segment.sequence));
        }
        let holders = self
            .agents
            .iter()
            .filter(|agent| agent.backend.open.contains(&key));
        if segment.resets && holders.count() > 0 {
            self.wrong_resets.push(key);
        }
    }
}

/// Plays events and returns the flows that were reset while a backend server held them.
fn wrong_resets(hosts: u16, events: &[Event]) -> Vec<FlowKey> {
    let mut site = SiteModel::new(hosts);
    for event in events {
        site.step(event);
    }
    site.wrong_resets
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_flow_is_reset_while_a_backend_server_holds_it(events in prop::collection::vec(event(FEW), 1..120)) {
        let wrong = wrong_resets(FEW, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_is_reset_on_either_side_of_a_cut(events in prop::collection::vec(event_or_cut(FEW), 1..200)) {
        let wrong = wrong_resets(FEW, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_is_reset_while_the_platform_comes_back_from_older_copies(events in prop::collection::vec(event_or_restore(FEW), 1..200)) {
        let wrong = wrong_resets(FEW, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_of_a_large_site_is_reset_while_a_backend_server_holds_it(events in prop::collection::vec(event_or_cut(MANY), 1..200)) {
        let wrong = wrong_resets(MANY, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }
}
