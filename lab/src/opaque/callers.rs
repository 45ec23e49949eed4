//! A stand-in for callers: feeds send many requests on one flow, and claims open a flow for each
//! request.

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
use crate::opaque::packet::{ACK, DecodedPacket, Packet, RST, SYN};
use crate::opaque::routers::Routers;

/// The interval at which callers receive and send packets.
const STEP_INTERVAL: Duration = Duration::from_millis(2);
const MAX_PACKET_BYTES: usize = 2_048;
/// The times at which copies of an unanswered opener are sent, in milliseconds after the first.
pub(crate) const OPENER_COPIES_MS: [u64; 2] = [200, 600];
/// The timeout for the answer to an opener, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_400;
/// The maximum distance of a reset from the next expected sequence number of an open flow; other
/// resets are ignored.
const RESET_WINDOW: u32 = 76_800;
/// The maximum number of retries of a request.
const MAX_RETRIES: u32 = 2;
/// The time limit of a request with all its retries, in milliseconds, if the configuration has no
/// deadline.
pub(crate) const REQUEST_LIMIT_MS: u64 = 3_000;

/// The flow of a caller.
enum CallerFlow {
    /// No flow is open, and no request begins before `until_ms`.
    Idle {
        until_ms: u64,
    },
    /// The opener, and so many copies of it, were sent without an answer so far.
    Opening {
        sequence: u32,
        started_ms: u64,
        copies: usize,
    },
    Open(FlowEndpoint),
}

struct Caller {
    /// The index of its plan.
    plan: usize,
    is_repeatable: bool,
    /// Whether it begins requests only during a rush.
    is_rush_caller: bool,
    port: u16,
    flow: CallerFlow,
    request: Option<Request>,
}

struct Request {
    id: String,
    started_ms: u64,
    retries: u32,
}

struct Callers {
    host: Ipv4Addr,
    socket: UdpSocket,
    routers: Routers,
    plans: Vec<CallPlan>,
    callers: Vec<Caller>,
    started: Instant,
    next_port: u16,
    next_id: u64,
    is_stopping: bool,
    is_rush: bool,
    tally: CallTally,
    open_flows: OpenFlows,
}

/// A handle to running callers.
pub(crate) struct CallersHandle {
    callers: Rc<RefCell<Callers>>,
}

impl CallersHandle {
    /// Starts callers on a host that receives their packets on `packet_port`.
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
            is_stopping: false,
            is_rush: false,
            tally: CallTally::default(),
            open_flows: open_flows.clone(),
        }));
        callers.borrow_mut().add_callers(false);
        let stepped = callers.clone();
        compio::runtime::spawn(async move {
            loop {
                stepped.borrow_mut().step();
                compio::time::sleep(STEP_INTERVAL).await;
            }
        })
        .detach();
        Ok(Self { callers })
    }

    /// Starts a rush with `times` times as many callers. Later rushes reuse the callers of the first
    /// one, whatever their `times`.
    pub(crate) fn start_rush(&self, times: usize) {
        let mut callers = self.callers.borrow_mut();
        callers.is_rush = true;
        if callers.callers.iter().any(|caller| caller.is_rush_caller) {
            return;
        }
        for _ in 1..times {
            callers.add_callers(true);
        }
    }

    /// Ends a rush: the callers that it added begin no further request.
    pub(crate) fn end_rush(&self) {
        self.callers.borrow_mut().is_rush = false;
    }

    /// Waits until all running requests have ended, without new ones, and returns the results.
    pub(crate) async fn finish(&self) -> CallTally {
        self.callers.borrow_mut().is_stopping = true;
        while self
            .callers
            .borrow()
            .callers
            .iter()
            .any(|caller| caller.request.is_some())
        {
            compio::time::sleep(STEP_INTERVAL).await;
        }
        self.callers.borrow().tally.clone()
    }

    /// Returns the results so far.
    pub(crate) fn tally(&self) -> CallTally {
        self.callers.borrow().tally.clone()
    }
}

impl Callers {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds the callers of all plans, with their first requests spread over the pause.
    fn add_callers(&mut self, is_rush_caller: bool) {
        let now_ms = self.now_ms();
        for plan in 0..self.plans.len() {
            let (feeds, claims) = (self.plans[plan].feeds, self.plans[plan].claims);
            for index in 0..feeds + claims {
                let pause_ms = self.plans[plan].pause_ms;
                self.callers.push(Caller {
                    plan,
                    is_repeatable: index < feeds,
                    is_rush_caller,
                    port: 0,
                    flow: CallerFlow::Idle {
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
            self.receive_datagram(&buffer[..bytes]);
        }
        for index in 0..self.callers.len() {
            self.advance(index);
        }
    }

    fn receive_datagram(&mut self, bytes: &[u8]) {
        let (packet, by_load_balancer) = match Packet::decode(bytes) {
            DecodedPacket::Valid(packet) => (packet, false),
            DecodedPacket::LoadBalancerReset(packet) => (packet, true),
            DecodedPacket::Invalid => {
                self.tally.wrong += 1;
                return;
            }
        };
        let recipient = packet.destination;
        let mut callers = self.callers.iter();
        let position = callers
            .position(|caller| caller.port == recipient.port() && *recipient.ip() == self.host);
        let Some(index) = position else {
            return;
        };
        if self.plans[self.callers[index].plan].called != packet.source {
            self.tally.wrong += 1;
            return;
        }
        if packet.has_flags(RST) {
            if by_load_balancer && self.is_reset_ignored(index, &packet) {
                return;
            }
            let flow = (packet.destination, packet.source);
            let is_held = self.open_flows.borrow().contains(&flow);
            let is_open = matches!(self.callers[index].flow, CallerFlow::Open(_));
            self.tally.reset += u64::from(by_load_balancer && is_open);
            self.tally.refused += u64::from(by_load_balancer && !is_open);
            self.tally.wrongly_reset += u64::from(by_load_balancer && is_open && is_held);
            self.on_flow_ended(index);
            return;
        }
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        match &mut caller.flow {
            CallerFlow::Opening { sequence, .. } if packet.has_flags(SYN | ACK) => {
                let local = SocketAddrV4::new(self.host, caller.port);
                let first = sequence.wrapping_add(1);
                let expected = packet.sequence.wrapping_add(1);
                let end = FlowEndpoint::new(local, packet.source, first, expected);
                caller.flow = CallerFlow::Open(end);
                self.send_request(index);
            }
            CallerFlow::Open(end) if !packet.has_flags(SYN) => {
                end.receive_packet(&packet, now_ms);
                self.receive_answer(index);
            }
            _ => {}
        }
    }

    /// Returns whether a reset is ignored because it is too far from the next expected sequence
    /// number of an open flow.
    fn is_reset_ignored(&self, index: usize, packet: &Packet) -> bool {
        let CallerFlow::Open(end) = &self.callers[index].flow else {
            return false;
        };
        let ahead = packet.sequence.wrapping_sub(end.next_expected());
        ahead.min(ahead.wrapping_neg()) > RESET_WINDOW
    }

    fn send_request(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if let (CallerFlow::Open(end), Some(request)) = (&mut caller.flow, &caller.request) {
            let text = format!(
                "POST /work HTTP/1.1\r\nEndivedyke-Request-Id: {}\r\nContent-Length: 4\r\n\r\nwork",
                request.id
            );
            end.queue(text.as_bytes());
        }
    }

    fn receive_answer(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        let plan = &self.plans[caller.plan];
        let CallerFlow::Open(end) = &mut caller.flow else {
            return;
        };
        let Some(message) = take_message(end) else {
            if end.is_remote_closed() {
                self.on_flow_ended(index);
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
            self.retry_or_fail(index);
            return;
        }
        if message == answer(&plan.service, &request.id) {
            self.tally.answered += 1;
            self.tally.slowest_ms = self.tally.slowest_ms.max(now_ms - request.started_ms);
            if !caller.is_repeatable {
                self.tally.claims.push(request.id.clone());
            }
        } else {
            self.tally.wrong += 1;
        }
        let keeps_flow = caller.is_repeatable && !end.is_remote_closed();
        caller.request = None;
        if !keeps_flow {
            self.close_flow(index);
        }
    }

    /// Closes the flow of a caller, which then pauses.
    fn close_flow(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        let plan = &self.plans[caller.plan];
        if let CallerFlow::Open(end) = &caller.flow {
            let fin = end.fin_packet();
            self.routers
                .forward(fin.source, fin.destination, &fin.encode());
        }
        caller.flow = CallerFlow::Idle {
            until_ms: now_ms + plan.pause_ms,
        };
    }

    /// Handles the end of a flow, on which a request may be running.
    fn on_flow_ended(&mut self, index: usize) {
        let caller = &self.callers[index];
        let was_open = matches!(caller.flow, CallerFlow::Open(_));
        if caller.request.is_none() {
            self.close_flow(index);
        } else if caller.is_repeatable || !was_open {
            self.retry_or_fail(index);
        } else {
            // The request may have run, and a claim must not run twice.
            self.fail_request(index);
        }
    }

    /// Retries a request on a new flow, or fails it if no retry or time is left.
    fn retry_or_fail(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let limit_ms = self.plans[self.callers[index].plan].limit_ms;
        let request = self.callers[index].request.as_mut();
        let may_retry = request.is_some_and(|request| {
            request.retries += 1;
            request.retries <= MAX_RETRIES && now_ms < request.started_ms + limit_ms
        });
        if may_retry {
            self.open_flow(index);
        } else {
            self.fail_request(index);
        }
    }

    fn fail_request(&mut self, index: usize) {
        self.tally.failed += 1;
        self.callers[index].request = None;
        self.close_flow(index);
    }

    fn open_flow(&mut self, index: usize) {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
        let now_ms = self.now_ms();
        let caller = &mut self.callers[index];
        caller.port = self.next_port;
        caller.flow = CallerFlow::Opening {
            sequence: rand::random(),
            started_ms: now_ms,
            copies: 0,
        };
        self.send_opener(index, 0);
    }

    fn send_opener(&self, index: usize, copy: u32) {
        let caller = &self.callers[index];
        let CallerFlow::Opening { sequence, .. } = caller.flow else {
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

    /// Sends what is due for a caller, and handles its timeouts.
    fn advance(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let may_begin_request = self.may_begin_request(index);
        let limit_ms = self.plans[self.callers[index].plan].limit_ms;
        let is_overdue = self.callers[index]
            .request
            .as_ref()
            .is_some_and(|request| now_ms >= request.started_ms + limit_ms);
        if is_overdue {
            self.fail_request(index);
            return;
        }
        match &mut self.callers[index].flow {
            CallerFlow::Idle { until_ms } if now_ms >= *until_ms && may_begin_request => {
                self.begin_request(index);
                self.open_flow(index);
            }
            CallerFlow::Idle { .. } => {}
            CallerFlow::Opening {
                started_ms, copies, ..
            } => {
                let waited_ms = now_ms - *started_ms;
                if waited_ms >= OPEN_TIMEOUT_MS {
                    self.retry_or_fail(index);
                } else if OPENER_COPIES_MS
                    .get(*copies)
                    .is_some_and(|copy_ms| waited_ms >= *copy_ms)
                {
                    *copies += 1;
                    let copy = *copies as u32;
                    self.send_opener(index, copy);
                }
            }
            CallerFlow::Open(_) => self.advance_open_flow(index, now_ms),
        }
    }

    fn advance_open_flow(&mut self, index: usize, now_ms: u64) {
        let is_idle = self.callers[index].request.is_none();
        let pause_ms = self.plans[self.callers[index].plan].pause_ms;
        if is_idle
            && self.may_begin_request(index)
            && rand::random_range(0..=pause_ms) < STEP_INTERVAL.as_millis() as u64
        {
            self.begin_request(index);
            self.send_request(index);
        }
        let CallerFlow::Open(end) = &mut self.callers[index].flow else {
            return;
        };
        let packets = end.packets_to_send(now_ms);
        for packet in packets {
            self.routers
                .forward(packet.source, packet.destination, &packet.encode());
        }
    }

    /// Returns whether a caller may begin a request now.
    fn may_begin_request(&self, index: usize) -> bool {
        !self.is_stopping && (self.is_rush || !self.callers[index].is_rush_caller)
    }

    fn begin_request(&mut self, index: usize) {
        self.next_id += 1;
        self.tally.requests += 1;
        let kind = if self.callers[index].is_repeatable {
            "feed"
        } else {
            "claim"
        };
        self.callers[index].request = Some(Request {
            id: format!("{kind}-{}-{}", self.host, self.next_id),
            started_ms: self.now_ms(),
            retries: 0,
        });
    }
}

/// Removes and returns the first complete message of the received data, if there is one.
fn take_message(end: &mut FlowEndpoint) -> Option<String> {
    let text = String::from_utf8_lossy(end.received()).into_owned();
    let head_bytes = text.find("\r\n\r\n")? + 4;
    let body_bytes: usize = header(&text, "Content-Length").parse().ok()?;
    if text.len() < head_bytes + body_bytes {
        return None;
    }
    let message = end.consume(head_bytes + body_bytes);
    String::from_utf8(message).ok()
}
