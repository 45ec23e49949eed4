//! A model of a whole site that runs random sequences of failures: messages are delayed, lost and
//! duplicated, processes end, hosts are partitioned, and the platform is restored from older copies.
//!
//! No flow that a backend server holds may be reset. That would happen, for example, if an agent took
//! missing or outdated answers of other agents as proof that no server holds the flow.

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

/// The hosts of a small site, where a lookup queries all agents at once, and of a large one, where it
/// queries the likely holders first.
const SMALL_SITE: u16 = 4;
const LARGE_SITE: u16 = 36;
/// The time at which a caller sends the last copy of an opener, in milliseconds after the first.
const LAST_COPY_DELAY_MS: u64 = 600;
/// The maximum number of datagrams that one event delivers.
const MAX_DELIVERED: usize = 400;
/// The highest revision before any restore.
const REVISION: u64 = LARGE_SITE as u64;
/// The revision number of the platform after a restore, which is lower than before.
const RESTORED_NUMBER: u64 = REVISION / 2;
/// The time after a restore within which backend servers rewrite their entries, in milliseconds.
const REWRITE_MS: u64 = 2_000;
/// The time after a restore for which a missing entry proves nothing, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// A backend server, whose flows end with its process.
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
    /// The highest era of the platform that it has seen.
    era: u64,
    /// Whether it started after a restore, so that it has only the values of the older copy.
    started_after_restore: bool,
}

/// The last restore of the platform.
#[derive(Debug)]
struct Restore {
    since_ms: u64,
    /// The directory by the older copy, in which the entry of one backend server is missing.
    directory: Directory,
}

/// A datagram that was sent and not delivered yet.
#[derive(Debug, Clone)]
struct InFlight {
    from: Ipv4Addr,
    to: Ipv4Addr,
    message: Message,
    payload: Vec<u8>,
}

/// A network partition, in one direction or both.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Partition {
    /// Every host whose index is a multiple of this is isolated, and none for 0.
    every: u16,
    /// Whether messages from isolated hosts still reach the others.
    one_way: bool,
}

impl Partition {
    /// Returns whether a host is isolated; the balancer never is.
    fn is_isolated(self, host: Ipv4Addr) -> bool {
        host != BALANCER && index_of(host).checked_rem(self.every) == Some(0)
    }

    fn blocks(self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        match (self.is_isolated(from), self.is_isolated(to)) {
            (false, true) => true,
            (true, false) => !self.one_way,
            _ => false,
        }
    }
}

struct SiteModel {
    directory: Directory,
    era: u64,
    restored: Option<Restore>,
    partition: Partition,
    agents: Vec<AgentModel>,
    balancer: Forwarder,
    in_flight: Vec<InFlight>,
    now_ms: u64,
    /// The time of each flow's first opener, in milliseconds.
    first_opener_ms: Vec<(FlowKey, u64)>,
    /// Flows that a backend server accepted, with the sequence number of the first acceptance.
    accepted: Vec<(FlowKey, u32)>,
    /// Flows on which callers have sent a request.
    used: Vec<FlowKey>,
    /// Flows that were reset while a backend server held them.
    wrong_resets: Vec<FlowKey>,
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends an opener from a port.
    Open(u16),
    /// A caller sends a request on the flow from a port.
    Request(u16),
    /// A datagram in flight, at this index modulo their number, is delivered.
    Deliver(usize),
    /// Such a datagram is lost.
    Lose(usize),
    /// Such a datagram is duplicated.
    Double(usize),
    RestartBalancer,
    RestartAgent(u16),
    RestartBackend(u16),
    StopBackend(u16),
    /// A backend server that has stopped refuses a connection of its agent.
    Refuse(u16),
    /// This many milliseconds pass.
    Pass(u64),
    /// An opener reaches an agent that was chosen by an older table.
    OpenAt(u16, u16),
    /// Everything in flight is delivered, with the messages that follow from it.
    DeliverAll,
    /// A network partition begins, with the fields of [`Partition`].
    Cut(u16, bool),
    /// The network partition ends.
    Heal,
    /// The platform is restored from a copy without the entry of this backend server.
    Restore(u16),
    /// An agent sees the new era after a restore.
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

/// The events of [`event`], network partitions that heal, and openers at unexpected agents.
fn event_or_partition(hosts: u16) -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => event(hosts),
        4 => (1_u16..6, 1..=hosts).prop_map(|(port, index)| Event::OpenAt(port, index)),
        4 => Just(Event::DeliverAll),
        1 => (2_u16..4, any::<bool>()).prop_map(|(every, one_way)| Event::Cut(every, one_way)),
        1 => Just(Event::Heal),
    ]
}

/// The events of [`event_or_partition`] and restores of the platform from older copies.
fn event_or_restore(hosts: u16) -> impl Strategy<Value = Event> {
    let index = 1_u16..=hosts;
    prop_oneof![
        30 => event_or_partition(hosts),
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
            started_after_restore: false,
        });
        Self {
            directory: directory(hosts),
            era: 0,
            restored: None,
            partition: Partition::default(),
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
            used: Vec::new(),
            wrong_resets: Vec::new(),
        }
    }

    fn step(&mut self, event: &Event) {
        match event {
            Event::Open(port) => self.send_opener(&flow(*port)),
            Event::Request(port) => self.send_request(&flow(*port)),
            Event::Deliver(at) => {
                if let Some(at) = at.checked_rem(self.in_flight.len()) {
                    let datagram = self.in_flight.remove(at);
                    self.deliver(&datagram);
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
                agent.started_after_restore = self.restored.is_some();
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
                    self.run_agent(*index, |agent, context| {
                        agent.handle_backend_refused(context)
                    });
                }
            }
            Event::Pass(ms) => self.advance(*ms),
            Event::OpenAt(port, index) => self.send_opener_to(&flow(*port), host(*index)),
            Event::DeliverAll => {
                // Includes the answers to delivered datagrams, up to this number.
                for _ in 0..MAX_DELIVERED {
                    let Some(datagram) = self.in_flight.pop() else {
                        break;
                    };
                    self.deliver(&datagram);
                }
            }
            Event::Cut(every, one_way) => {
                self.partition = Partition {
                    every: *every,
                    one_way: *one_way,
                };
            }
            Event::Heal => self.partition = Partition::default(),
            Event::Restore(missing) => self.restore(*missing),
            Event::Learn(index) => self.agents[usize::from(*index) - 1].era = self.era,
        }
    }

    fn restore(&mut self, missing: u16) {
        let mut copy = directory(self.agents.len() as u16);
        remove_entry(&mut copy, missing, REVISION + 1, 0);
        copy.expire(u64::MAX / 2, 0);
        self.era += 1;
        self.restored = Some(Restore {
            since_ms: self.now_ms,
            directory: copy,
        });
    }

    /// Returns the highest revision that a process holds. The balancer sees no restore.
    fn revision_of(&self, host: Ipv4Addr) -> Revision {
        if host == BALANCER {
            return REVISION.into();
        }
        match self.agents[usize::from(index_of(host)) - 1].era {
            0 => REVISION.into(),
            era => Revision::new(era, RESTORED_NUMBER).expect("small"),
        }
    }

    fn record_opener(&mut self, key: &FlowKey) {
        if !self.first_opener_ms.iter().any(|(known, _)| known == key) {
            self.first_opener_ms.push((*key, self.now_ms));
        }
    }

    /// Returns whether a caller still sends copies of its opener, which ends after the last copy and once
    /// it uses the flow.
    fn may_send_opener(&self, key: &FlowKey) -> bool {
        let first = self.first_opener_ms.iter().find(|(known, _)| known == key);
        let in_time =
            first.is_some_and(|(_, first_ms)| self.now_ms <= first_ms + LAST_COPY_DELAY_MS);
        in_time && !self.used.contains(key)
    }

    fn send_opener(&mut self, key: &FlowKey) {
        self.record_opener(key);
        if self.may_send_opener(key) {
            self.send_from_caller(opener(key, 0));
        }
    }

    /// Sends an opener through a balancer that has an older table.
    fn send_opener_to(&mut self, key: &FlowKey, to: Ipv4Addr) {
        self.record_opener(key);
        if self.may_send_opener(key) {
            let mut message = Message::new(MessageKind::Deliver);
            message.host = BALANCER;
            let payload = opener(key, 0);
            self.run_actions(BALANCER, vec![Action::ToPeer(to, message, payload)]);
        }
    }

    /// Sends a request on a flow that a backend server accepted.
    fn send_request(&mut self, key: &FlowKey) {
        let accepted = self.accepted.iter().find(|(known, _)| known == key);
        if let Some((_, sequence)) = accepted {
            let packet = request(key, sequence + 1);
            self.used.push(*key);
            self.send_from_caller(packet);
        }
    }

    fn send_from_caller(&mut self, packet: Vec<u8>) {
        let mut suspicion = Suspicion::default();
        let action = self
            .balancer
            .handle(&self.directory, &mut suspicion, packet, self.now_ms);
        self.run_actions(BALANCER, action.into_iter().collect());
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for index in 1..=self.agents.len() as u16 {
            self.run_agent(index, |agent, context| agent.tick(context));
        }
    }

    fn deliver(&mut self, datagram: &InFlight) {
        if self.partition.blocks(datagram.from, datagram.to) {
            return;
        }
        if datagram.to == BALANCER {
            self.balancer_receives(datagram);
            return;
        }
        let index = index_of(datagram.to);
        let InFlight {
            from,
            message,
            payload,
            ..
        } = datagram.clone();
        self.run_agent(index, |agent, context| {
            agent
                .handle_peer_message(context, from, &message, &payload)
                .unwrap_or_default()
        });
    }

    /// Records the holder of a flow at the balancer.
    fn balancer_receives(&mut self, datagram: &InFlight) {
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

    /// Calls a method of an agent with its view of the site, and runs the resulting actions.
    fn run_agent(
        &mut self,
        index: u16,
        decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> Vec<Action>,
    ) {
        let revision = self.revision_of(host(index));
        let agent = &mut self.agents[usize::from(index) - 1];
        let restored = self.restored.as_ref();
        let restored = restored.filter(|_| agent.era == self.era);
        let since_restore_ms = restored.map(|restored| self.now_ms - restored.since_ms);
        let copy = restored.filter(|_| agent.started_after_restore);
        let copy = copy.filter(|_| since_restore_ms < Some(REWRITE_MS));
        let context = AgentContext {
            directory: copy.map_or(&self.directory, |restored| &restored.directory),
            suspicion: &agent.suspicion,
            revision,
            is_settled: since_restore_ms
                .is_none_or(|since_restore_ms| since_restore_ms >= SETTLE_MS),
            now_ms: self.now_ms,
        };
        let actions = decide(&mut agent.flow_agent, &context);
        self.run_actions(host(index), actions);
    }

    fn run_actions(&mut self, from: Ipv4Addr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ToBackend(packet) => self.backend_receives(index_of(from), packet),
                Action::ToCaller(_, packet) => self.caller_receives(&packet),
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

    fn backend_receives(&mut self, index: u16, packet: Vec<u8>) {
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
            self.run_agent(index, |agent, context| {
                agent
                    .handle_backend_packet(context, answer)
                    .unwrap_or_default()
            });
        }
    }

    fn caller_receives(&mut self, packet: &[u8]) {
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

/// Runs events and returns the flows that were reset while a backend server held them.
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
    fn no_flow_is_reset_while_a_backend_server_holds_it(events in prop::collection::vec(event(SMALL_SITE), 1..120)) {
        let wrong = wrong_resets(SMALL_SITE, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_is_reset_on_either_side_of_a_cut(events in prop::collection::vec(event_or_partition(SMALL_SITE), 1..200)) {
        let wrong = wrong_resets(SMALL_SITE, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_is_reset_while_the_platform_comes_back_from_older_copies(events in prop::collection::vec(event_or_restore(SMALL_SITE), 1..200)) {
        let wrong = wrong_resets(SMALL_SITE, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }

    #[test]
    fn no_flow_of_a_large_site_is_reset_while_a_backend_server_holds_it(events in prop::collection::vec(event_or_partition(LARGE_SITE), 1..200)) {
        let wrong = wrong_resets(LARGE_SITE, &events);
        prop_assert!(wrong.is_empty(), "{wrong:?}");
    }
}
