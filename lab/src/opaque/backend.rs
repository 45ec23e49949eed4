//! A stand-in for a backend server of opaque flows.

use std::cell::RefCell;
use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;
use endivedyke::Result;

use crate::opaque::flow_endpoint::FlowEndpoint;
use crate::opaque::packet::{ACK, BOUNCED, DecodedPacket, FIN, Packet, RST, SYN};

/// The interval at which a backend server receives packets, works and sends.
const STEP_INTERVAL: Duration = Duration::from_millis(2);
const MAX_PACKET_BYTES: usize = 2_048;
/// The number of retransmissions without an acknowledgement after which a flow is dropped.
const MAX_RETRANSMISSIONS: u32 = 8;

/// What a backend server did, for the checks of a run.
#[derive(Debug, Default, Clone)]
pub(crate) struct BackendJournal {
    /// The ids of all requests that it ran, in order.
    pub(crate) executed_ids: Vec<String>,
    /// The number of flows that openers asked it to open; copies of an opener do not count.
    pub(crate) openers: usize,
    /// The number of malformed or changed packets.
    pub(crate) invalid_packets: u64,
    /// The number of openers to an address of another service.
    pub(crate) misrouted_openers: u64,
    /// The number of packets that it returned because it did not hold their flow.
    pub(crate) returned_packets: u64,
}

/// The open flows of all backend servers, by caller and called address. With them, callers detect
/// resets of flows that are still held.
pub(crate) type OpenFlows = Rc<RefCell<Vec<(SocketAddrV4, SocketAddrV4)>>>;

/// The connections that a backend server accepted.
pub(crate) type Connections = Rc<RefCell<Vec<TcpStream>>>;

/// The settings of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendSpec {
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) outbound: SocketAddrV4,
    /// The addresses that callers call for this service.
    pub(crate) called: Vec<SocketAddrV4>,
    /// The number of requests that it runs at once.
    pub(crate) slots: usize,
    /// The number of requests that may wait for a slot; more are refused.
    pub(crate) queue: usize,
    /// The duration of a request, in milliseconds.
    pub(crate) work_ms: u64,
}

/// How a backend server processes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkMode {
    /// Each request takes the duration of the settings.
    Normal,
    /// Each request takes this many times as long.
    Slow(u64),
    /// Connections, flows and requests are accepted, but no request is run or answered.
    Hanging,
}

/// A flow whose opener was answered, but whose caller has not yet confirmed the answer.
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
    request: Option<ServerRequest>,
}

struct ServerRequest {
    id: String,
    /// The number of requests that arrived before it.
    arrival_number: u64,
    started_ms: Option<u64>,
}

struct Server {
    spec: BackendSpec,
    socket: UdpSocket,
    started: Instant,
    half_open: Vec<HalfOpen>,
    flows: Vec<ServerFlow>,
    /// Flows that have ended, whose late packets are still answered.
    ended: Vec<(SocketAddrV4, SocketAddrV4)>,
    next_sequence: u32,
    next_arrival_number: u64,
    is_draining: bool,
    work_mode: WorkMode,
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

/// A running backend server. Dropping the handle ends the server and its flows.
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
    /// Starts a new lifetime of a backend server under an id, at the address of the settings.
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
            next_arrival_number: 0,
            is_draining: false,
            work_mode: WorkMode::Normal,
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
                    compio::time::sleep(STEP_INTERVAL).await;
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

    /// Starts to drain: the server closes each flow after its next answer.
    pub(crate) fn drain(&self) {
        self.server.borrow_mut().is_draining = true;
    }

    /// Returns whether the server drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.server.borrow().is_draining
    }

    /// Sets the work mode, also for requests that already run.
    pub(crate) fn set_work_mode(&self, work_mode: WorkMode) {
        self.server.borrow_mut().work_mode = work_mode;
    }

    /// Returns the accepted connections, which stay open as long as they have an owner.
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
            self.receive_datagram(&buffer[..bytes]);
        }
        self.serve_requests();
        self.send_all();
    }

    fn receive_datagram(&mut self, bytes: &[u8]) {
        let DecodedPacket::Valid(packet) = Packet::decode(bytes) else {
            self.journal.borrow_mut().invalid_packets += 1;
            return;
        };
        if packet.has_flags(SYN | ACK) || packet.has_flags(RST) {
            self.journal.borrow_mut().invalid_packets += 1;
            return;
        }
        if packet.has_flags(SYN) {
            self.receive_opener(&packet);
            return;
        }
        let now_ms = self.now_ms();
        let known = self
            .flows
            .iter_mut()
            .find(|flow| flow.matches_packet(&packet));
        if let Some(flow) = known {
            flow.end.receive_packet(&packet, now_ms);
            return;
        }
        let position = self.half_open.iter().position(|half| {
            half.matches_packet(&packet) && packet.acknowledgement == half.sequence.wrapping_add(1)
        });
        match position {
            Some(index) => self.establish_flow(index, &packet, now_ms),
            None if self.ended.contains(&(packet.source, packet.destination)) => {
                self.answer_ended_flow(&packet);
            }
            None => self.return_packet(bytes),
        }
    }

    /// Answers a late packet of a flow that has ended: data with a reset, a `FIN` with an
    /// acknowledgement.
    fn answer_ended_flow(&self, packet: &Packet) {
        if packet.data.is_empty() && !packet.has_flags(FIN) {
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

    /// Accepts a flow, or repeats the answer to a copy of its opener.
    fn receive_opener(&mut self, packet: &Packet) {
        if !self.spec.called.contains(&packet.destination) {
            self.journal.borrow_mut().misrouted_openers += 1;
        }
        let known = self
            .half_open
            .iter()
            .position(|half| half.matches_packet(packet));
        let index = known.unwrap_or_else(|| {
            self.journal.borrow_mut().openers += 1;
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

    fn establish_flow(&mut self, index: usize, packet: &Packet, now_ms: u64) {
        let half = self.half_open.swap_remove(index);
        let sequence = half.sequence.wrapping_add(1);
        let mut end = FlowEndpoint::new(half.called, half.caller, sequence, half.expected);
        end.receive_packet(packet, now_ms);
        self.open_flows
            .borrow_mut()
            .push((half.caller, half.called));
        self.flows.push(ServerFlow {
            caller: half.caller,
            called: half.called,
            end,
            request: None,
        });
    }

    /// Returns a packet of a flow that this server does not hold.
    fn return_packet(&self, bytes: &[u8]) {
        self.journal.borrow_mut().returned_packets += 1;
        let mut bytes = bytes.to_vec();
        bytes[0] |= BOUNCED;
        bytes[1] = 0;
        self.send(&bytes);
    }

    /// Reads new requests, and runs, answers or refuses those that are there.
    fn serve_requests(&mut self) {
        let now_ms = self.now_ms();
        let work_ms = match self.work_mode {
            WorkMode::Normal => self.spec.work_ms,
            WorkMode::Slow(times) => self.spec.work_ms * times,
            WorkMode::Hanging => return,
        };
        for flow in &mut self.flows {
            if flow.request.is_none()
                && let Some(id) = flow.take_request()
            {
                flow.request = Some(ServerRequest {
                    id,
                    arrival_number: self.next_arrival_number,
                    started_ms: None,
                });
                self.next_arrival_number += 1;
            }
        }
        // Requests are served in order of arrival, so that none is overtaken for ever.
        let arrival_number = |flow: &ServerFlow| {
            flow.request
                .as_ref()
                .map_or(0, |request| request.arrival_number)
        };
        self.flows.sort_by_key(arrival_number);
        let running = |flow: &&ServerFlow| {
            flow.request
                .as_ref()
                .is_some_and(|request| request.started_ms.is_some())
        };
        let mut busy = self.flows.iter().filter(running).count();
        let mut queued = 0;
        for flow in &mut self.flows {
            let Some(request) = &mut flow.request else {
                continue;
            };
            match request.started_ms {
                Some(started_ms) if now_ms >= started_ms + work_ms => {
                    let answer = answer(&self.spec.service, &request.id);
                    flow.end.queue(answer.as_bytes());
                    flow.request = None;
                    if self.is_draining {
                        flow.end.close();
                    }
                }
                Some(_) => {}
                None if busy < self.spec.slots => {
                    busy += 1;
                    request.started_ms = Some(now_ms);
                    self.journal
                        .borrow_mut()
                        .executed_ids
                        .push(request.id.clone());
                }
                None if queued < self.spec.queue => queued += 1,
                None => {
                    flow.end.queue(shed_answer(&request.id).as_bytes());
                    flow.request = None;
                }
            }
        }
    }

    fn send_all(&mut self) {
        let now_ms = self.now_ms();
        let mut packets = Vec::new();
        for flow in &mut self.flows {
            packets.extend(flow.end.packets_to_send(now_ms));
            if flow.end.is_remote_closed() && flow.request.is_none() {
                packets.push(flow.end.fin_packet());
            }
        }
        let ended = &mut self.ended;
        let mut open = self.open_flows.borrow_mut();
        self.flows.retain(|flow| {
            let is_done = flow.end.is_remote_closed() && flow.request.is_none();
            let is_kept = !is_done && flow.end.retransmissions <= MAX_RETRANSMISSIONS;
            if !is_kept {
                ended.push((flow.caller, flow.called));
                open.retain(|known| *known != (flow.caller, flow.called));
            }
            is_kept
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
    fn matches_packet(&self, packet: &Packet) -> bool {
        self.caller == packet.source && self.called == packet.destination
    }
}

impl ServerFlow {
    fn matches_packet(&self, packet: &Packet) -> bool {
        self.caller == packet.source && self.called == packet.destination
    }

    /// Removes the first complete request from the received data and returns its id.
    fn take_request(&mut self) -> Option<String> {
        let text = String::from_utf8_lossy(self.end.received()).into_owned();
        let head_bytes = text.find("\r\n\r\n")? + 4;
        let body_bytes: usize = header(&text, "Content-Length").parse().ok()?;
        if text.len() < head_bytes + body_bytes {
            return None;
        }
        let id = header(&text, "Endivedyke-Request-Id").to_owned();
        self.end.consume(head_bytes + body_bytes);
        Some(id)
    }
}

/// Returns the value of a header of an HTTP message, or an empty string.
pub(crate) fn header<'a>(message: &'a str, name: &str) -> &'a str {
    let head = message.split("\r\n\r\n").next().unwrap_or("");
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut found = fields.filter(|(known, _)| *known == name);
    found.next().map_or("", |(_, value)| value)
}

/// Returns the complete answer to a request, whose content its caller can check.
pub(crate) fn answer(service: &str, id: &str) -> String {
    let body = format!("{service} {id} ").repeat(40);
    format!(
        "HTTP/1.1 200 OK\r\nEndivedyke-Response-Signature: {service}-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the answer that refuses a request without running it.
fn shed_answer(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nEndivedyke-Not-Executed: {id}\r\nContent-Length: 0\r\n\r\n"
    )
}
