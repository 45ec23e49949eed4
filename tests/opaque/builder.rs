//! A small site of hosts 10.0.0.1, 10.0.0.2, … with one backend server each.

use std::net::{Ipv4Addr, SocketAddrV4};

use endivedyke::opaque::{
    Action, AgentContext, AgentIdentity, Backend, BackendChange, BackendState, BackendValue,
    Directory, FlowAgent, FlowKey, Forwarder, GONE_TEXT, Message, MessageKind, OpaqueMetrics,
    ROUTES_HEADER, RouteTable, Segment, UnusableReason, WireFormat, backend_text, parse_deadlines,
    started_backend_text,
};
use endivedyke::{Code, Error, Result, Revision, ServiceId, Suspicion};

/// The service of the site.
pub(crate) const SERVICE: &str = "queue-desk";
/// The address that callers call.
pub(crate) const CALLED: &str = "192.0.2.1:443";
/// The longest life of a flow, in milliseconds.
pub(crate) const FLOW_LIFETIME_MS: u64 = 60_000;
/// The balancer through which packets come in.
pub(crate) const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 1);

/// The availability zone of that balancer, and of every backend server of the site.
pub(crate) const ZONE: &str = "zone-a";

/// A form of packets of the tests' own: flags, a mark, two numbers, two ends, data.
pub(crate) const WIRE: WireFormat = WireFormat {
    decode,
    set_mark,
    restore,
    request_id: |_| None,
    status,
    reset,
};

const HEADER_BYTES: usize = 25;
/// The first byte of the data of an answer that refuses a request.
const REFUSAL_BYTE: u8 = 0x35;

fn status(packet: &[u8]) -> Option<u16> {
    (packet.get(HEADER_BYTES) == Some(&REFUSAL_BYTE)).then_some(503)
}

fn decode(packet: &[u8]) -> Result<Segment> {
    if !(HEADER_BYTES..2_000).contains(&packet.len()) {
        return Err(Error::new(Code::SegmentMalformed, packet.len().to_string()));
    }
    let word = |at: usize| u32::from_be_bytes(packet[at..at + 4].try_into().expect("four bytes"));
    let end = |at: usize| {
        let port = u16::from_be_bytes([packet[at + 4], packet[at + 5]]);
        SocketAddrV4::new(Ipv4Addr::from(word(at)), port)
    };
    let flags = packet[0];
    Ok(Segment {
        source: end(13),
        destination: end(19),
        opens: flags & (SYN | ACK) == SYN,
        accepts: flags & (SYN | ACK) == SYN | ACK,
        ends: flags & FIN != 0,
        resets: flags & RST != 0,
        returned: flags & RETURNED != 0,
        sequence: word(5),
        acknowledgement: word(9),
        payload_bytes: (packet.len() - HEADER_BYTES) as u16,
        mark: word(1),
    })
}

fn set_mark(packet: &mut [u8], mark: u32) {
    packet[1..5].copy_from_slice(&mark.to_be_bytes());
}

fn restore(packet: &mut [u8]) {
    packet[0] &= !RETURNED;
    set_mark(packet, 0);
}

fn reset(key: &FlowKey, sequence: u32) -> Vec<u8> {
    let spec = PacketSpec {
        flags: RST,
        sequence,
        ..PacketSpec::default()
    };
    packet(key.called, key.caller, spec)
}

pub(crate) fn host(index: u16) -> Ipv4Addr {
    let [high, low] = index.to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

/// Returns the index of a host.
pub(crate) fn index_of(host: Ipv4Addr) -> u16 {
    let [_, _, high, low] = host.octets();
    u16::from_be_bytes([high, low])
}

pub(crate) fn backend_address(index: u16) -> SocketAddrV4 {
    SocketAddrV4::new(host(index), 8_000)
}

/// Returns the flow of a caller's port.
pub(crate) fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        called: CALLED.parse().expect("address"),
    }
}

/// Returns the flow of a port of another caller.
pub(crate) fn flow_from(caller: Ipv4Addr, port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(caller, port),
        ..flow(port)
    }
}

/// What a packet of a caller is.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PacketSpec {
    pub(crate) flags: u8,
    pub(crate) sequence: u32,
    pub(crate) acknowledgement: u32,
    pub(crate) data_bytes: usize,
}

pub(crate) const SYN: u8 = 1;
pub(crate) const ACK: u8 = 2;
pub(crate) const FIN: u8 = 4;
pub(crate) const RST: u8 = 8;
pub(crate) const RETURNED: u8 = 16;

fn packet(source: SocketAddrV4, destination: SocketAddrV4, spec: PacketSpec) -> Vec<u8> {
    let mut bytes = vec![spec.flags, 0, 0, 0, 0];
    bytes.extend_from_slice(&spec.sequence.to_be_bytes());
    bytes.extend_from_slice(&spec.acknowledgement.to_be_bytes());
    for end in [source, destination] {
        bytes.extend_from_slice(&end.ip().octets());
        bytes.extend_from_slice(&end.port().to_be_bytes());
    }
    bytes.resize(HEADER_BYTES + spec.data_bytes, 0x5a);
    bytes
}

/// Returns a packet from a caller.
pub(crate) fn from_caller(key: &FlowKey, spec: PacketSpec) -> Vec<u8> {
    packet(key.caller, key.called, spec)
}

/// Returns a packet from a backend server.
pub(crate) fn from_backend(key: &FlowKey, spec: PacketSpec) -> Vec<u8> {
    packet(key.called, key.caller, spec)
}

/// Returns one copy of an opener.
pub(crate) fn opener(key: &FlowKey, copy: u32) -> Vec<u8> {
    let spec = PacketSpec {
        flags: SYN,
        sequence: 100,
        acknowledgement: copy,
        ..PacketSpec::default()
    };
    from_caller(key, spec)
}

/// Returns a request whose sender acknowledges a backend server's number.
pub(crate) fn request(key: &FlowKey, acknowledgement: u32) -> Vec<u8> {
    let spec = PacketSpec {
        flags: ACK,
        sequence: 101,
        acknowledgement,
        data_bytes: 40,
    };
    from_caller(key, spec)
}

/// Returns the acceptance of a flow by a backend server.
pub(crate) fn acceptance(key: &FlowKey, sequence: u32) -> Vec<u8> {
    let spec = PacketSpec {
        flags: SYN | ACK,
        sequence,
        acknowledgement: 101,
        data_bytes: 0,
    };
    from_backend(key, spec)
}

/// Returns a packet with data of a backend server as one that refuses a request.
pub(crate) fn refusal(mut packet: Vec<u8>) -> Vec<u8> {
    packet[HEADER_BYTES] = REFUSAL_BYTE;
    packet
}

/// Returns a packet as a backend server hands it back.
pub(crate) fn returned_packet(mut packet: Vec<u8>) -> Vec<u8> {
    packet[0] |= RETURNED;
    packet
}

pub(crate) fn entry_text(index: u16, state: BackendState) -> String {
    entry_text_in(ZONE, index, state)
}

/// The same in another availability zone.
pub(crate) fn entry_text_in(zone: &str, index: u16, state: BackendState) -> String {
    let address = backend_address(index).to_string();
    backend_text(SERVICE, &address, zone, 4, state)
}

/// Returns the text of a ready backend server that tells its start.
pub(crate) fn started_entry_text(index: u16, started_unix_ms: u64) -> String {
    started_backend_text(&entry_text(index, BackendState::Ready), started_unix_ms)
}

/// Publishes that an entry names no backend server to use.
pub(crate) fn overwrite_entry(directory: &mut Directory, index: u16, revision: u64, now_ms: u64) {
    let id = format!("i-{index}");
    let change = BackendChange {
        id: &id,
        value: BackendValue::Unusable(UnusableReason::Malformed),
        revision: revision.into(),
    };
    directory.apply_backends(vec![change], now_ms);
}

pub(crate) fn publish(
    directory: &mut Directory,
    index: u16,
    text: &str,
    revision: impl Into<Revision>,
    now_ms: u64,
) {
    let backend: Option<Backend> = Backend::parse(text).expect("sound text");
    directory.apply_backend(&format!("i-{index}"), backend, revision, now_ms);
}

pub(crate) fn remove_entry(
    directory: &mut Directory,
    index: u16,
    revision: impl Into<Revision>,
    now_ms: u64,
) {
    publish(directory, index, GONE_TEXT, revision, now_ms);
}

/// Returns a directory with this many ready backend servers and one route.
pub(crate) fn directory(count: u16) -> Directory {
    let mut directory = Directory::default();
    let routes = format!("{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,yes\n");
    directory.set_routes(RouteTable::parse(&routes).expect("sound routes"));
    let ids: Vec<String> = (1..=count).map(|index| format!("i-{index}")).collect();
    let change = |(index, id): (u16, &'_ String)| {
        let text = entry_text(index, BackendState::Ready);
        let backend: Option<Backend> = Backend::parse(&text).expect("sound text");
        (index, id.clone(), backend)
    };
    let published: Vec<_> = (1..=count).zip(&ids).map(change).collect();
    let changes = published.iter().map(|(index, id, backend)| BackendChange {
        id,
        value: backend.clone().into(),
        revision: u64::from(*index).into(),
    });
    directory.apply_backends(changes.collect(), 0);
    directory
}

pub(crate) fn forwarder() -> Forwarder {
    Forwarder::new(
        WIRE,
        BALANCER,
        ZONE,
        FLOW_LIFETIME_MS,
        &OpaqueMetrics::default(),
    )
}

/// Returns who the agent on a host is.
pub(crate) fn identity(index: u16) -> AgentIdentity {
    AgentIdentity {
        host: host(index),
        backend: backend_address(index),
        service: ServiceId::from_name(SERVICE),
        flow_lifetime_ms: FLOW_LIFETIME_MS,
    }
}

/// Returns an agent that knows all flows.
pub(crate) fn flow_agent(identity: AgentIdentity) -> FlowAgent {
    FlowAgent::new(WIRE, identity, true, &OpaqueMetrics::default())
}

/// The agents of a whole site, which all know the same and know all flows.
pub(crate) struct Agents {
    pub(crate) directory: Directory,
    pub(crate) suspicion: Suspicion,
    flow_agents: Vec<FlowAgent>,
}

impl Agents {
    pub(crate) fn new(count: u16) -> Self {
        Self {
            directory: directory(count),
            suspicion: Suspicion::default(),
            flow_agents: (1..=count)
                .map(|index| flow_agent(identity(index)))
                .collect(),
        }
    }

    pub(crate) fn count(&self) -> u16 {
        self.flow_agents.len() as u16
    }

    /// Lets the agent on a host decide.
    pub(crate) fn with_agent<T>(
        &mut self,
        at: Ipv4Addr,
        now_ms: u64,
        decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> T,
    ) -> T {
        let context = AgentContext {
            directory: &self.directory,
            suspicion: &self.suspicion,
            revision: u64::MAX.into(),
            is_settled: true,
            now_ms,
        };
        decide(
            &mut self.flow_agents[usize::from(index_of(at)) - 1],
            &context,
        )
    }

    /// Replaces every agent by one that has just started.
    pub(crate) fn restart(&mut self) {
        self.flow_agents = Self::new(self.count()).flow_agents;
    }
}

/// An agent with what it sees.
pub(crate) struct AgentUnderTest {
    pub(crate) flow_agent: FlowAgent,
    pub(crate) directory: Directory,
    pub(crate) suspicion: Suspicion,
    pub(crate) revision: u64,
    pub(crate) is_settled: bool,
    pub(crate) now_ms: u64,
}

impl AgentUnderTest {
    /// Returns the agent on host 1 of a site with this many hosts.
    pub(crate) fn new(count: u16, knows_all_flows: bool) -> Self {
        Self {
            flow_agent: FlowAgent::new(
                WIRE,
                identity(1),
                knows_all_flows,
                &OpaqueMetrics::default(),
            ),
            directory: directory(count),
            suspicion: Suspicion::default(),
            revision: u64::from(count),
            is_settled: true,
            now_ms: 1_000,
        }
    }

    pub(crate) fn identity(&self) -> AgentIdentity {
        identity(1)
    }

    /// Hands over a packet of the backend server on a flow that was never seen.
    pub(crate) fn acknowledge_from_backend(&mut self, key: &FlowKey) {
        let spec = PacketSpec {
            flags: ACK,
            ..PacketSpec::default()
        };
        self.deliver_from_backend(from_backend(key, spec));
    }

    fn with_agent<T>(&mut self, decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> T) -> T {
        let context = AgentContext {
            directory: &self.directory,
            suspicion: &self.suspicion,
            revision: self.revision.into(),
            is_settled: self.is_settled,
            now_ms: self.now_ms,
        };
        decide(&mut self.flow_agent, &context)
    }

    /// Hands over a datagram of another process.
    pub(crate) fn deliver_message(
        &mut self,
        from: Ipv4Addr,
        message: Message,
        payload: &[u8],
    ) -> Vec<Action> {
        self.with_agent(|agent, context| {
            agent.handle_peer_message(context, from, &message, payload)
        })
        .expect("sound packet")
    }

    /// Hands over a packet that a balancer forwarded.
    pub(crate) fn deliver(&mut self, packet: &[u8]) -> Vec<Action> {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        self.deliver_message(BALANCER, message, packet)
    }

    /// Hands over an opener whose caller has waited in attempts that failed.
    pub(crate) fn deliver_retry(&mut self, packet: &[u8], waited_ms: u16) -> Vec<Action> {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        message.waited_ms = waited_ms;
        self.deliver_message(BALANCER, message, packet)
    }

    /// Hands over the word of another agent about a flow.
    pub(crate) fn deliver_answer(
        &mut self,
        kind: MessageKind,
        from: Ipv4Addr,
        key: &FlowKey,
    ) -> Vec<Action> {
        self.deliver_answer_at(kind, from, key, self.revision)
    }

    /// The same from an agent that knows another revision.
    pub(crate) fn deliver_answer_at(
        &mut self,
        kind: MessageKind,
        from: Ipv4Addr,
        key: &FlowKey,
        revision: u64,
    ) -> Vec<Action> {
        let mut message = Message::new(kind);
        message.digest.highest = revision.into();
        let mut payload = Vec::new();
        for end in [key.caller, key.called] {
            payload.extend_from_slice(&end.ip().octets());
            payload.extend_from_slice(&end.port().to_be_bytes());
        }
        self.deliver_message(from, message, &payload)
    }

    /// Hands over a packet of the backend server.
    pub(crate) fn deliver_from_backend(&mut self, packet: Vec<u8>) -> Vec<Action> {
        self.with_agent(|agent, context| agent.handle_backend_packet(context, packet))
            .expect("sound packet")
    }

    /// Lets the connection to the backend server break and be made anew.
    pub(crate) fn reconnect(&mut self) {
        self.now_ms += 10;
        self.flow_agent.handle_backend_disconnected(self.now_ms);
        self.flow_agent.handle_backend_listening(self.now_ms);
        self.now_ms += 10;
    }

    /// Lets the agent note its load, as with each message that it sends.
    pub(crate) fn sample_load(&mut self) {
        self.with_agent(|agent, context| agent.load_permille(context));
    }

    pub(crate) fn check_for_stall(&mut self) -> Vec<Action> {
        self.with_agent(|agent, context| agent.check_for_stall(context))
    }

    pub(crate) fn refuse_connection(&mut self) -> Vec<Action> {
        self.with_agent(|agent, context| agent.handle_backend_refused(context))
    }

    pub(crate) fn leave(&mut self) -> Vec<Action> {
        self.with_agent(|agent, context| agent.leave(context))
    }

    pub(crate) fn handle_published_change(&mut self) -> Vec<Action> {
        self.with_agent(|agent, context| agent.handle_published_change(context))
    }

    pub(crate) fn tick_at(&mut self, now_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        self.with_agent(|agent, context| agent.tick(context))
    }

    /// Opens a flow whose backend server chose this number.
    pub(crate) fn open(&mut self, key: &FlowKey, sequence: u32) {
        self.deliver(&opener(key, 0));
        self.deliver_from_backend(acceptance(key, sequence));
        self.deliver(&request(key, sequence + 1));
    }
}

/// Tells that callers of [`CALLED`] have time for one attempt.
pub(crate) fn set_deadline(directory: &mut Directory) {
    let told = parse_deadlines(&format!("{CALLED},300,1500\n"));
    directory.set_deadlines(told.expect("sound"));
}

/// Returns the flows that actions reset.
pub(crate) fn resets(actions: &[Action]) -> Vec<FlowKey> {
    let segments = actions.iter().filter_map(|action| match action {
        Action::ToCaller(_, packet) => (WIRE.decode)(packet).ok(),
        _ => None,
    });
    segments
        .filter(|segment| segment.resets)
        .map(|segment| segment.flow_from_backend())
        .collect()
}

/// Returns the hosts to which actions send messages of a kind.
pub(crate) fn receivers(actions: &[Action], kind: MessageKind) -> Vec<Ipv4Addr> {
    let told = actions.iter().filter_map(|action| match action {
        Action::ToPeer(host, message, _) if message.kind == kind => Some(*host),
        _ => None,
    });
    told.collect()
}

/// Tells whether actions hand a packet to the backend server.
pub(crate) fn reaches_backend(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::ToBackend(_)))
}

/// Returns the hosts whose backend servers take new flows.
pub(crate) fn hosts_taking_flows(directory: &Directory) -> Vec<Ipv4Addr> {
    let table = directory.table(ServiceId::from_name(SERVICE));
    let rows = table.map_or(&[][..], |table| &table.rows);
    let takers = rows.iter().filter(|row| row.weight > 0);
    takers.map(|row| row.host).collect()
}

/// Returns the agent to which a balancer forwards a packet.
pub(crate) fn forwarded_to(action: &Action) -> Ipv4Addr {
    let Action::ToPeer(host, message, _) = action else {
        panic!("not forwarded: {action:?}");
    };
    assert_eq!(message.kind, MessageKind::Deliver);
    *host
}
