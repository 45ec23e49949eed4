//! A stand-in for a backend server of opaque flows.

use std::cell::RefCell;
use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use endivedyke::Result;

use crate::opaque::flow_endpoint::FlowEndpoint;
use crate::opaque::packet::{ACK, BOUNCED, FIN, Packet, RST, Received, SYN};

const TICK: Duration = Duration::from_millis(2);
const MAX_PACKET_BYTES: usize = 2_048;
/// After how many repeats a server gives a flow up.
const MAX_REPEATS: u32 = 8;

/// What a backend server did, for whoever judges the run.
#[derive(Debug, Default, Clone)]
pub(crate) struct BackendJournal {
    /// The ids of all requests that it ran, in order.
    pub(crate) ran: Vec<String>,
    /// How many openers of new flows it took.
    pub(crate) opened: usize,
    /// Packets that nobody wrote so.
    pub(crate) forged: u64,
    /// Openers for an address of another service.
    pub(crate) foreign: u64,
    /// Packets that it returned.
    pub(crate) returned: u64,
}

/// The flows that backend servers hold open, by caller and called address, for whoever judges resets.
pub(crate) type OpenFlows = Rc<RefCell<Vec<(SocketAddrV4, SocketAddrV4)>>>;

/// The connections that a backend server accepted.
pub(crate) type Connections = Rc<RefCell<Vec<TcpStream>>>;

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendSpec {
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) outbound: SocketAddrV4,
    /// The addresses whose flows are this service's.
    pub(crate) called: Vec<SocketAddrV4>,
    pub(crate) slots: usize,
    pub(crate) queue: usize,
    pub(crate) work_ms: u64,
}

/// How a backend server works on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// As its settings say.
    Usual,
    /// Each request takes this many times as long.
    Slow(u64),
    /// It accepts connections, flows and requests, and neither begins nor answers any.
    Hanging,
}

struct HalfOpen {
    caller: SocketAddrV4,
    called: SocketAddrV4,
    sequence: u32,
    expected: u32,
}

struct ServerFlow {
    caller: SocketAddrV4,
    called: SocketAddrV4,
    end: FlowEndpoint,
    work: Option<Work>,
}

struct Work {
    id: String,
    /// How many requests had come before it.
    turn: u64,
    started_ms: Option<u64>,
}

struct Server {
    spec: BackendSpec,
    socket: UdpSocket,
    started: Instant,
    half_open: Vec<HalfOpen>,
    flows: Vec<ServerFlow>,
    /// Flows that have ended here, whose last packets still get an answer.
    ended: Vec<(SocketAddrV4, SocketAddrV4)>,
    next_sequence: u32,
    next_turn: u64,
    draining: bool,
    pace: Pace,
    journal: Rc<RefCell<BackendJournal>>,
    open_flows: OpenFlows,
}

impl Drop for Server {
    fn drop(&mut self) {
        let mut open = self.open_flows.borrow_mut();
        for flow in &self.flows {
            open.retain(|known| *known != (flow.caller, flow.called));
        }
    }
}

/// A running backend server; it ends, and its flows with it, when this is dropped.
pub(crate) struct BackendHandle {
    server: Rc<RefCell<Server>>,
    pub(crate) spec: BackendSpec,
    pub(crate) id: String,
    /// When this lifetime started, in milliseconds of Unix time.
    pub(crate) started_unix_ms: u64,
    connections: Connections,
    _serving: JoinHandle<()>,
    _listening: JoinHandle<()>,
}

impl BackendHandle {
    /// Starts a new lifetime at the address of the settings, under an id.
    pub(crate) async fn start(
        id: &str,
        spec: &BackendSpec,
        journal: &Rc<RefCell<BackendJournal>>,
        open_flows: &OpenFlows,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(spec.address)?;
        socket.set_nonblocking(true)?;
        let server = Rc::new(RefCell::new(Server {
            spec: spec.clone(),
            socket,
            started: Instant::now(),
            half_open: Vec::new(),
            flows: Vec::new(),
            ended: Vec::new(),
            next_sequence: rand::random(),
            next_turn: 0,
            draining: false,
            pace: Pace::Usual,
            journal: journal.clone(),
            open_flows: open_flows.clone(),
        }));
        let listener = TcpListener::bind(spec.address).await?;
        let serving = server.clone();
        let connections = Connections::default();
        let accepted = connections.clone();
        Ok(Self {
            connections,
            server,
            spec: spec.clone(),
            id: id.to_owned(),
            started_unix_ms: unix_ms(),
            _serving: compio::runtime::spawn(async move {
                loop {
                    serving.borrow_mut().step();
                    compio::time::sleep(TICK).await;
                }
            }),
            _listening: compio::runtime::spawn(async move {
                loop {
                    if let Ok((stream, _)) = listener.accept().await {
                        accepted.borrow_mut().push(stream);
                    }
                }
            }),
        })
    }

    /// Lets the server close each flow after its next answer.
    pub(crate) fn drain(&self) {
        self.server.borrow_mut().draining = true;
    }

    /// Tells whether the server leaves.
    pub(crate) fn is_draining(&self) -> bool {
        self.server.borrow().draining
    }

    /// Sets how the server works from now on, also on requests that run.
    pub(crate) fn set_pace(&self, pace: Pace) {
        self.server.borrow_mut().pace = pace;
    }

    /// Returns the connections that were accepted, which close with their last owner.
    pub(crate) fn connections(&self) -> Connections {
        self.connections.clone()
    }

    /// Returns the number of open flows.
    pub(crate) fn open_flows(&self) -> usize {
        self.server.borrow().flows.len()
    }
}

/// Returns the time of day in milliseconds of Unix time.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Server {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn step(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        while let Ok((bytes, _)) = self.socket.recv_from(&mut buffer) {
            self.take(&buffer[..bytes]);
        }
        self.work();
        self.send_all();
    }

    fn take(&mut self, bytes: &[u8]) {
        let Received::Whole(packet) = Packet::decode(bytes) else {
            self.journal.borrow_mut().forged += 1;
            return;
        };
        if packet.has(SYN | ACK) || packet.has(RST) {
            self.journal.borrow_mut().forged += 1;
            return;
        }
        if packet.has(SYN) {
            self.open(&packet);
            return;
        }
        let now_ms = self.now_ms();
        let known = self.flows.iter_mut().find(|flow| flow.is(&packet));
        if let Some(flow) = known {
            flow.end.take_packet(&packet, now_ms);
            return;
        }
        let chosen = self.half_open.iter().position(|half| {
            half.is(&packet) && packet.acknowledgement == half.sequence.wrapping_add(1)
        });
        match chosen {
            Some(index) => self.establish(index, &packet, now_ms),
            None if self.ended.contains(&(packet.source, packet.destination)) => {
                self.answer_ended(&packet);
            }
            None => self.hand_back(bytes),
        }
    }

    fn answer_ended(&self, packet: &Packet) {
        if packet.data.is_empty() && !packet.has(FIN) {
            return;
        }
        let answer = Packet {
            flags: if packet.data.is_empty() { ACK } else { RST },
            sequence: packet.acknowledgement,
            acknowledgement: packet.sequence.wrapping_add(packet.data.len() as u32),
            source: packet.destination,
            destination: packet.source,
            data: Vec::new(),
        };
        self.send(&answer.encode());
    }

    fn open(&mut self, packet: &Packet) {
        if !self.spec.called.contains(&packet.destination) {
            self.journal.borrow_mut().foreign += 1;
        }
        let known = self.half_open.iter().position(|half| half.is(packet));
        let index = known.unwrap_or_else(|| {
            self.journal.borrow_mut().opened += 1;
            self.next_sequence = self.next_sequence.wrapping_add(100_003);
            self.half_open.push(HalfOpen {
                caller: packet.source,
                called: packet.destination,
                sequence: self.next_sequence,
                expected: packet.sequence.wrapping_add(1),
            });
            self.half_open.len() - 1
        });
        let half = &self.half_open[index];
        let answer = Packet {
            flags: SYN | ACK,
            sequence: half.sequence,
            acknowledgement: half.expected,
            source: half.called,
            destination: half.caller,
            data: Vec::new(),
        };
        self.send(&answer.encode());
    }

    fn establish(&mut self, index: usize, packet: &Packet, now_ms: u64) {
        let half = self.half_open.swap_remove(index);
        let sequence = half.sequence.wrapping_add(1);
        let mut end = FlowEndpoint::new(half.called, half.caller, sequence, half.expected);
        end.take_packet(packet, now_ms);
        self.open_flows
            .borrow_mut()
            .push((half.caller, half.called));
        self.flows.push(ServerFlow {
            caller: half.caller,
            called: half.called,
            end,
            work: None,
        });
    }

    fn hand_back(&self, bytes: &[u8]) {
        self.journal.borrow_mut().returned += 1;
        let mut bytes = bytes.to_vec();
        bytes[0] |= BOUNCED;
        bytes[1] = 0;
        self.send(&bytes);
    }

    /// Starts, ends and refuses requests.
    fn work(&mut self) {
        let now_ms = self.now_ms();
        let work_ms = match self.pace {
            Pace::Usual => self.spec.work_ms,
            Pace::Slow(times) => self.spec.work_ms * times,
            Pace::Hanging => return,
        };
        for flow in &mut self.flows {
            if flow.work.is_none()
                && let Some(id) = flow.take_request()
            {
                flow.work = Some(Work {
                    id,
                    turn: self.next_turn,
                    started_ms: None,
                });
                self.next_turn += 1;
            }
        }
        // The queue is served in order of arrival, so that nobody is overtaken for ever.
        let turn = |flow: &ServerFlow| flow.work.as_ref().map_or(0, |work| work.turn);
        self.flows.sort_by_key(turn);
        let running = |flow: &&ServerFlow| {
            flow.work
                .as_ref()
                .is_some_and(|work| work.started_ms.is_some())
        };
        let mut busy = self.flows.iter().filter(running).count();
        let mut waiting = 0;
        for flow in &mut self.flows {
            let Some(work) = &mut flow.work else {
                continue;
            };
            match work.started_ms {
                Some(started_ms) if now_ms >= started_ms + work_ms => {
                    let answer = answer(&self.spec.service, &work.id);
                    flow.end.send(answer.as_bytes());
                    flow.work = None;
                    if self.draining {
                        flow.end.end();
                    }
                }
                Some(_) => {}
                None if busy < self.spec.slots => {
                    busy += 1;
                    work.started_ms = Some(now_ms);
                    self.journal.borrow_mut().ran.push(work.id.clone());
                }
                None if waiting < self.spec.queue => waiting += 1,
                None => {
                    flow.end.send(shed(&work.id).as_bytes());
                    flow.work = None;
                }
            }
        }
    }

    fn send_all(&mut self) {
        let now_ms = self.now_ms();
        let mut packets = Vec::new();
        for flow in &mut self.flows {
            packets.extend(flow.end.packets(now_ms));
            if flow.end.remote_ended() && flow.work.is_none() {
                packets.push(flow.end.last_packet());
            }
        }
        let ended = &mut self.ended;
        let mut open = self.open_flows.borrow_mut();
        self.flows.retain(|flow| {
            let done = flow.end.remote_ended() && flow.work.is_none();
            let keeps = !done && flow.end.repeats <= MAX_REPEATS;
            if !keeps {
                ended.push((flow.caller, flow.called));
                open.retain(|known| *known != (flow.caller, flow.called));
            }
            keeps
        });
        drop(open);
        for packet in packets {
            self.send(&packet.encode());
        }
    }

    fn send(&self, bytes: &[u8]) {
        // A packet that can't be sent is lost, as on any network.
        let _ = self.socket.send_to(bytes, self.spec.outbound);
    }
}

impl HalfOpen {
    fn is(&self, packet: &Packet) -> bool {
        self.caller == packet.source && self.called == packet.destination
    }
}

impl ServerFlow {
    fn is(&self, packet: &Packet) -> bool {
        self.caller == packet.source && self.called == packet.destination
    }

    /// Takes a whole request from what was received and returns its id.
    fn take_request(&mut self) -> Option<String> {
        let text = String::from_utf8_lossy(self.end.received()).into_owned();
        let head_bytes = text.find("\r\n\r\n")? + 4;
        let body_bytes: usize = header(&text, "Content-Length").parse().ok()?;
        if text.len() < head_bytes + body_bytes {
            return None;
        }
        let id = header(&text, "Endivedyke-Request-Id").to_owned();
        self.end.take(head_bytes + body_bytes);
        Some(id)
    }
}

/// Returns the value of a header of an HTTP message, or nothing.
pub(crate) fn header<'a>(message: &'a str, name: &str) -> &'a str {
    let head = message.split("\r\n\r\n").next().unwrap_or("");
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut found = fields.filter(|(known, _)| *known == name);
    found.next().map_or("", |(_, value)| value)
}

/// Returns the whole answer to a request, which its caller can check.
pub(crate) fn answer(service: &str, id: &str) -> String {
    let body = format!("{service} {id} ").repeat(40);
    format!(
        "HTTP/1.1 200 OK\r\nEndivedyke-Response-Signature: {service}-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the refusal of a request that did not run.
fn shed(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nEndivedyke-Not-Executed: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}
