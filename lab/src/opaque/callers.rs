//! A stand-in for callers: feeds that keep a flow for many requests, and claims with a flow each.

mod call_plan;
mod call_tally;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};

use endivedyke::Result;

pub use crate::opaque::callers::call_plan::CallPlan;
pub use crate::opaque::callers::call_tally::CallTally;

use crate::opaque::backend::{OpenFlows, answer, header};
use crate::opaque::flow_endpoint::FlowEndpoint;
use crate::opaque::packet::{ACK, Packet, RST, Received, SYN};
use crate::opaque::routers::Routers;

const TICK: Duration = Duration::from_millis(2);
const MAX_PACKET_BYTES: usize = 2_048;
/// When copies of an opener are sent, in milliseconds after the first.
pub(crate) const OPENER_COPIES_MS: [u64; 2] = [200, 600];
/// How long an opener may stay without an answer, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_400;
/// How far from the next expected number a reset of an open flow may be.
const RESET_WINDOW: u32 = 76_800;
/// How often a request is tried again.
const RETRIES: u32 = 2;
/// How long a request may take with all its tries, in milliseconds, where operators tell nothing else.
pub(crate) const REQUEST_LIMIT_MS: u64 = 3_000;

enum Stage {
    Idle {
        until_ms: u64,
    },
    Opening {
        sequence: u32,
        first_ms: u64,
        copies: usize,
    },
    Open(FlowEndpoint),
}

struct CallerState {
    plan: usize,
    repeatable: bool,
    /// Whether it begins requests only while callers rush.
    rushes: bool,
    port: u16,
    stage: Stage,
    request: Option<Request>,
}

struct Request {
    id: String,
    first_ms: u64,
    tries: u32,
}

struct Callers {
    host: Ipv4Addr,
    socket: UdpSocket,
    routers: Routers,
    plans: Vec<CallPlan>,
    callers: Vec<CallerState>,
    started: Instant,
    next_port: u16,
    next_id: u64,
    stopping: bool,
    rushing: bool,
    tally: CallTally,
    open_flows: OpenFlows,
}

/// Running callers.
pub(crate) struct CallersHandle {
    callers: Rc<RefCell<Callers>>,
}

impl CallersHandle {
    /// Starts callers on a host whose packets for them come to `packet_port`.
    pub(crate) fn start(
        host: Ipv4Addr,
        packet_port: u16,
        routers: &Routers,
        plans: &[CallPlan],
        open_flows: &OpenFlows,
    ) -> Result<Self> {
        let socket = UdpSocket::bind((host, packet_port))?;
        socket.set_nonblocking(true)?;
        let callers = Rc::new(RefCell::new(Callers {
            host,
            socket,
            routers: routers.clone(),
            plans: plans.to_vec(),
            callers: Vec::new(),
            started: Instant::now(),
            next_port: 1_024,
            next_id: 0,
            stopping: false,
            rushing: false,
            tally: CallTally::default(),
            open_flows: open_flows.clone(),
        }));
        callers.borrow_mut().populate(false);
        let running = callers.clone();
        compio::runtime::spawn(async move {
            loop {
                running.borrow_mut().step();
                compio::time::sleep(TICK).await;
            }
        })
        .detach();
        Ok(Self { callers })
    }

    /// Lets several times as many callers call from now on; the first rush says how many times.
    pub(crate) fn start_rush(&self, times: usize) {
        let mut callers = self.callers.borrow_mut();
        callers.rushing = true;
        if callers.callers.iter().any(|caller| caller.rushes) {
            return;
        }
        for _ in 1..times {
            callers.populate(true);
        }
    }

    /// Lets the callers that came for a rush begin no further request.
    pub(crate) fn end_rush(&self) {
        self.callers.borrow_mut().rushing = false;
    }

    /// Lets requests that run end, starts no new one, and returns what was seen.
    pub(crate) async fn finish(&self) -> CallTally {
        self.callers.borrow_mut().stopping = true;
        while self
            .callers
            .borrow()
            .callers
            .iter()
            .any(|caller| caller.request.is_some())
        {
            compio::time::sleep(TICK).await;
        }
        self.callers.borrow().tally.clone()
    }

    /// Returns what was seen so far.
    pub(crate) fn tally(&self) -> CallTally {
        self.callers.borrow().tally.clone()
    }
}

impl Callers {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds the callers of all plans.
    fn populate(&mut self, rushes: bool) {
        let now_ms = self.now_ms();
        for plan in 0..self.plans.len() {
            let (feeds, claims) = (self.plans[plan].feeds, self.plans[plan].claims);
            for index in 0..feeds + claims {
                let pause_ms = self.plans[plan].pause_ms;
                self.callers.push(CallerState {
                    plan,
                    repeatable: index < feeds,
                    rushes,
                    port: 0,
                    stage: Stage::Idle {
                        until_ms: now_ms + pause_ms * index as u64 / (feeds + claims) as u64,
                    },
                    request: None,
                });
            }
        }
    }

    fn step(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        while let Ok((bytes, _)) = self.socket.recv_from(&mut buffer) {
            self.take(&buffer[..bytes]);
        }
        for index in 0..self.callers.len() {
            self.advance(index);
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        let (packet, by_system) = match Packet::decode(bytes) {
            Received::Whole(packet) => (packet, false),
            Received::SystemReset(packet) => (packet, true),
            Received::Forged => {
                self.tally.wrong += 1;
                return;
            }
        };
        let own = packet.destination;
        let mut callers = self.callers.iter();
        let found = callers.position(|caller| caller.port == own.port() && *own.ip() == self.host);
        let Some(index) = found else {
            return;
        };
        if self.plans[self.callers[index].plan].called != packet.source {
            self.tally.wrong += 1;
            return;
        }
        if packet.has(RST) {
            if by_system && self.ignores_reset(index, &packet) {
                return;
            }
            let flow = (packet.destination, packet.source);
            let held = self.open_flows.borrow().contains(&flow);
            let open = matches!(self.callers[index].stage, Stage::Open(_));
            self.tally.reset += u64::from(by_system && open);
            self.tally.refused += u64::from(by_system && !open);
            self.tally.wrongly_reset += u64::from(by_system && open && held);
            self.flow_ended(index);
            return;
        }
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        match &mut caller.stage {
            Stage::Opening { sequence, .. } if packet.has(SYN | ACK) => {
                let local = SocketAddrV4::new(self.host, caller.port);
                let first = sequence.wrapping_add(1);
                let expected = packet.sequence.wrapping_add(1);
                let end = FlowEndpoint::new(local, packet.source, first, expected);
                caller.stage = Stage::Open(end);
                self.send_request(index);
            }
            Stage::Open(end) if !packet.has(SYN) => {
                end.take_packet(&packet, now_ms);
                self.take_answer(index);
            }
            _ => {}
        }
    }

    /// Tells whether a reset is too far from what the caller expects to end an open flow.
    fn ignores_reset(&self, index: usize, packet: &Packet) -> bool {
        let Stage::Open(end) = &self.callers[index].stage else {
            return false;
        };
        let ahead = packet.sequence.wrapping_sub(end.expected());
        ahead.min(ahead.wrapping_neg()) > RESET_WINDOW
    }

    fn send_request(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if let (Stage::Open(end), Some(request)) = (&mut caller.stage, &caller.request) {
            let text = format!(
                "POST /work HTTP/1.1\r\nEndivedyke-Request-Id: {}\r\nContent-Length: 4\r\n\r\nwork",
                request.id
            );
            end.send(text.as_bytes());
        }
    }

    fn take_answer(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        let plan = &self.plans[caller.plan];
        let Stage::Open(end) = &mut caller.stage else {
            return;
        };
        let Some(message) = whole_message(end) else {
            if end.remote_ended() {
                self.flow_ended(index);
            }
            return;
        };
        let Some(request) = &caller.request else {
            self.tally.wrong += 1;
            return;
        };
        if message.starts_with("HTTP/1.1 503")
            && header(&message, "Endivedyke-Not-Executed") == request.id
        {
            self.tally.shed += 1;
            self.try_again(index);
            return;
        }
        if message == answer(&plan.service, &request.id) {
            self.tally.answered += 1;
            self.tally.slowest_ms = self.tally.slowest_ms.max(now_ms - request.first_ms);
            if !caller.repeatable {
                self.tally.claims.push(request.id.clone());
            }
        } else {
            self.tally.wrong += 1;
        }
        let keeps = caller.repeatable && !end.remote_ended();
        caller.request = None;
        if !keeps {
            self.close(index);
        }
    }

    /// Ends this end's part of a flow and forgets it.
    fn close(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        let plan = &self.plans[caller.plan];
        if let Stage::Open(end) = &caller.stage {
            let last = end.last_packet();
            self.routers
                .forward(last.source, last.destination, &last.encode());
        }
        caller.stage = Stage::Idle {
            until_ms: now_ms + plan.pause_ms,
        };
    }

    /// Takes that the flow has ended under a request.
    fn flow_ended(&mut self, index: usize) {
        let caller = &self.callers[index];
        let opened = matches!(caller.stage, Stage::Open(_));
        if caller.request.is_none() {
            self.close(index);
        } else if caller.repeatable || !opened {
            self.try_again(index);
        } else {
            // Whether it ran nobody can say, so that it is not sent again.
            self.fail(index);
        }
    }

    fn try_again(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let limit_ms = self.plans[self.callers[index].plan].limit_ms;
        let request = self.callers[index].request.as_mut();
        let goes_on = request.is_some_and(|request| {
            request.tries += 1;
            request.tries <= RETRIES && now_ms < request.first_ms + limit_ms
        });
        if goes_on {
            self.open(index);
        } else {
            self.fail(index);
        }
    }

    fn fail(&mut self, index: usize) {
        self.tally.failed += 1;
        self.callers[index].request = None;
        self.close(index);
    }

    fn open(&mut self, index: usize) {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        caller.port = self.next_port;
        caller.stage = Stage::Opening {
            sequence: rand::random(),
            first_ms: now_ms,
            copies: 0,
        };
        self.send_opener(index, 0);
    }

    fn send_opener(&self, index: usize, copy: u32) {
        let caller = &self.callers[index];
        let Stage::Opening { sequence, .. } = caller.stage else {
            return;
        };
        let packet = Packet {
            flags: SYN,
            sequence,
            acknowledgement: copy,
            source: SocketAddrV4::new(self.host, caller.port),
            destination: self.plans[caller.plan].called,
            data: Vec::new(),
        };
        self.routers
            .forward(packet.source, packet.destination, &packet.encode());
    }

    /// Does what time asks of a caller.
    fn advance(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let may_begin = self.may_begin(index);
        let limit_ms = self.plans[self.callers[index].plan].limit_ms;
        let late = self.callers[index]
            .request
            .as_ref()
            .is_some_and(|request| now_ms >= request.first_ms + limit_ms);
        if late {
            self.fail(index);
            return;
        }
        match &mut self.callers[index].stage {
            Stage::Idle { until_ms } if now_ms >= *until_ms && may_begin => {
                self.begin(index);
                self.open(index);
            }
            Stage::Idle { .. } => {}
            Stage::Opening {
                first_ms, copies, ..
            } => {
                let waited_ms = now_ms - *first_ms;
                if waited_ms >= OPEN_TIMEOUT_MS {
                    self.try_again(index);
                } else if OPENER_COPIES_MS
                    .get(*copies)
                    .is_some_and(|due_ms| waited_ms >= *due_ms)
                {
                    *copies += 1;
                    let copy = *copies as u32;
                    self.send_opener(index, copy);
                }
            }
            Stage::Open(_) => self.advance_open(index, now_ms),
        }
    }

    fn advance_open(&mut self, index: usize, now_ms: u64) {
        let idle = self.callers[index].request.is_none();
        let pause_ms = self.plans[self.callers[index].plan].pause_ms;
        if idle
            && self.may_begin(index)
            && rand::random_range(0..=pause_ms) < TICK.as_millis() as u64
        {
            self.begin(index);
            self.send_request(index);
        }
        let Stage::Open(end) = &mut self.callers[index].stage else {
            return;
        };
        let packets = end.packets(now_ms);
        for packet in packets {
            self.routers
                .forward(packet.source, packet.destination, &packet.encode());
        }
    }

    /// Tells whether a caller may begin requests at this time.
    fn may_begin(&self, index: usize) -> bool {
        !self.stopping && (self.rushing || !self.callers[index].rushes)
    }

    fn begin(&mut self, index: usize) {
        self.next_id += 1;
        self.tally.requests += 1;
        let kind = if self.callers[index].repeatable {
            "feed"
        } else {
            "claim"
        };
        self.callers[index].request = Some(Request {
            id: format!("{kind}-{}-{}", self.host, self.next_id),
            first_ms: self.now_ms(),
            tries: 0,
        });
    }
}

/// Takes a whole message from what was received.
fn whole_message(end: &mut FlowEndpoint) -> Option<String> {
    let text = String::from_utf8_lossy(end.received()).into_owned();
    let head_bytes = text.find("\r\n\r\n")? + 4;
    let body_bytes: usize = header(&text, "Content-Length").parse().ok()?;
    if text.len() < head_bytes + body_bytes {
        return None;
    }
    let message = end.take(head_bytes + body_bytes);
    String::from_utf8(message).ok()
}
