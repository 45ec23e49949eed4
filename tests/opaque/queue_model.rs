//! A discrete-event simulation of callers, balancers, agents and backend servers under one placement
//! policy.
//!
//! The product's policy runs the product's own code, with a delay of one millisecond for every message.
//! Under the other policies the balancer alone chooses a server, by hash, by the loads that servers
//! reported last, or by both. The server keeps the opener.

mod processes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

use endivedyke::opaque::{FlowKey, Forwarder, parse_deadlines};
use endivedyke::{ServiceId, rank_targets};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::builder::{
    ACK, Agents, CALLED, FIN, PacketSpec, SERVICE, WIRE, flow_from, forwarder, from_backend,
    from_caller, host, index_of, opener,
};
use crate::queue_plan::{Outcome, Plan, Policy};
use processes::publish_slots;

/// The delay of a message, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 1;
/// The interval of the messages that each agent sends to a balancer without another cause, in
/// milliseconds, as in the product.
const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// The interval at which processes check their timeouts, in milliseconds, as in the product.
const TICK_INTERVAL_MS: u64 = 10;
/// The times at which callers send the copies of an opener, in milliseconds after the first.
const COPY_DELAYS_MS: [u64; 3] = [0, 200, 600];
/// The time after which an unanswered opener counts as failed, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_400;
/// The maximum number of retries of a refused request.
const MAX_RETRIES: u32 = 2;
/// The number of callers, each with an address of its own.
const CALLER_COUNT: usize = 100;
/// The sequence number of a backend server's acceptance.
const ACCEPTANCE_SEQUENCE: u32 = 500;
/// The length of a request, in bytes.
const REQUEST_BYTES: u32 = 40;
/// The length of an answer, in bytes.
const ANSWER_BYTES: u32 = 100;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// New calls arrive.
    Arrival,
    /// A caller sends a copy of its opener: port and number of the copy.
    Copy(u16, u32),
    /// An agent gets a message: receiver, sender and datagram.
    ToAgent(Ipv4Addr, Ipv4Addr, Vec<u8>),
    /// A balancer gets a message: sender and datagram.
    ToBalancer(Ipv4Addr, Vec<u8>),
    /// A caller gets an acceptance: port and server.
    Accepted(u16, Ipv4Addr),
    /// A caller gets a reset of the flow from a port.
    Refused(u16),
    /// A server finishes a request: index of the server, port of the flow, and the lifetime in which the
    /// request started.
    Done(u16, u16, u32),
    /// A caller sends the next request on the flow from a port.
    NextRequest(u16),
    Tick,
    Heartbeat,
    OpenTimeout(u16),
    PowerLost,
    PowerRestored,
}

/// Returns the agents of a plan, with a directory of its servers.
fn new_agents(plan: &Plan) -> Agents {
    let mut agents = Agents::new(plan.servers);
    publish_slots(&mut agents.directory, plan, 1_000, 0);
    if plan.has_deadline {
        let text = format!("{CALLED},{},{}\n", plan.objective_ms, plan.timeout_ms);
        agents
            .directory
            .set_deadlines(parse_deadlines(&text).expect("sound"));
    }
    agents
}

/// Returns the balancers of a plan in their initial state.
fn new_forwarders(plan: &Plan) -> Vec<Forwarder> {
    (0..plan.balancers).map(|_| forwarder()).collect()
}

/// A caller's request, in all its attempts.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// The time of its first attempt, in milliseconds.
    first_ms: u64,
    retries: u32,
}

/// The flow of one attempt.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    /// The index of its call.
    call: usize,
    /// The index of its caller.
    caller: u8,
    /// The number of requests still to follow on its flow.
    remaining: u32,
    /// The number of requests that were sent on its flow.
    sent: u32,
    is_accepted: bool,
    has_ended: bool,
    /// The server that holds its flow.
    holder: Option<Ipv4Addr>,
}

#[derive(Debug, Default)]
struct Server {
    /// Ports of flows whose requests wait, in order of arrival.
    queue: Vec<u16>,
    /// Ports of flows whose requests run.
    running: Vec<u16>,
    /// The number of power losses so far. Events of requests from before the last one are void.
    lifetime: u32,
    request_count: usize,
}

/// The simulation of one plan under one policy.
pub(crate) struct Model {
    plan: Plan,
    policy: Policy,
    rng: StdRng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    agents: Agents,
    forwarders: Vec<Forwarder>,
    /// The loads that servers reported last, in order of their indices.
    reported_loads: Vec<f64>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    attempts: BTreeMap<u16, Attempt>,
    next_port: u16,
    next_arrival_ms: f64,
    is_power_lost: bool,
    cold_until_ms: u64,
    outcome: Outcome,
}

impl Model {
    /// Runs a plan under a policy.
    pub(crate) fn run(plan: &Plan, policy: Policy) -> Outcome {
        let mut model = Self::new(plan, policy);
        model.schedule(0, Event::Arrival);
        model.schedule(TICK_INTERVAL_MS, Event::Tick);
        model.schedule(HEARTBEAT_INTERVAL_MS, Event::Heartbeat);
        if let Some((at_ms, duration_ms)) = plan.power_loss_ms {
            model.schedule(at_ms, Event::PowerLost);
            model.schedule(at_ms + duration_ms, Event::PowerRestored);
        }
        let until_ms = plan.duration_ms + plan.timeout_ms;
        while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
            if at_ms > until_ms {
                break;
            }
            model.now_ms = at_ms;
            model.handle_event(event);
        }
        let mut outcome = model.outcome;
        outcome.requests = model.calls.len();
        outcome.failed = outcome.requests - outcome.in_time - outcome.late;
        outcome.waits_ms.sort_unstable();
        outcome.requests_by_server = model
            .servers
            .iter()
            .map(|server| server.request_count)
            .collect();
        outcome
    }

    fn new(plan: &Plan, policy: Policy) -> Self {
        Self {
            plan: *plan,
            policy,
            rng: StdRng::seed_from_u64(plan.seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            agents: new_agents(plan),
            forwarders: new_forwarders(plan),
            reported_loads: vec![0.0; usize::from(plan.servers)],
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            next_port: 1_024,
            next_arrival_ms: 0.0,
            is_power_lost: false,
            cold_until_ms: 0,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_ms, self.next_event, event)));
    }

    /// Schedules an event that a message causes at its receiver.
    fn schedule_after_delay(&mut self, event: Event) {
        self.schedule(self.now_ms + MESSAGE_DELAY_MS, event);
    }

    fn handle_event(&mut self, event: Event) {
        let needs_power = matches!(
            event,
            Event::Copy(..) | Event::ToAgent(..) | Event::ToBalancer(..)
        );
        if self.is_power_lost && needs_power {
            return;
        }
        match event {
            Event::Arrival => self.handle_arrivals(),
            Event::Copy(port, copy) => self.send_copy(port, copy),
            Event::ToAgent(at, from, datagram) => self.agent_receives(at, from, &datagram),
            Event::ToBalancer(from, datagram) => self.balancer_receives(from, &datagram),
            Event::Accepted(port, at) => self.handle_accepted(port, at),
            Event::Refused(port) => self.retry(port),
            Event::Done(server, port, lifetime) => self.finish_request(server, port, lifetime),
            Event::NextRequest(port) => self.send_next_request(port),
            Event::Tick => self.tick(),
            Event::Heartbeat => self.heartbeat(),
            Event::OpenTimeout(port) => self.give_up_opening(port),
            Event::PowerLost => self.lose_power(),
            Event::PowerRestored => self.restore_power(),
        }
    }

    /// Draws an exponentially distributed time.
    fn draw_ms(&mut self, mean_ms: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform.ln() * mean_ms
    }

    fn handle_arrivals(&mut self) {
        let slots = f64::from(self.plan.servers) * self.plan.slots as f64;
        let mut per_ms = self.plan.load * slots
            / self.plan.service_ms
            / self.plan.requests_per_flow_and_pause_ms.0;
        if let Some((from_ms, until_ms, more)) = self.plan.burst
            && (from_ms..until_ms).contains(&self.now_ms)
        {
            per_ms *= more;
        }
        // The clock has steps of a millisecond, so several calls may arrive in one of them. The fraction
        // is carried over.
        while self.next_arrival_ms < (self.now_ms + 1) as f64 {
            self.calls.push(Call {
                first_ms: self.now_ms,
                retries: 0,
            });
            let remaining = self.draw_remaining();
            self.start_attempt(self.calls.len() - 1, remaining);
            self.next_arrival_ms += self.draw_ms(1.0 / per_ms);
        }
        let next_ms = self.next_arrival_ms as u64;
        if next_ms < self.plan.duration_ms {
            self.schedule(next_ms, Event::Arrival);
        }
    }

    /// Draws the number of requests that follow the first of a flow.
    fn draw_remaining(&mut self) -> u32 {
        let mean = self.plan.requests_per_flow_and_pause_ms.0 - 1.0;
        if mean <= 0.0 {
            return 0;
        }
        self.draw_ms(mean).round() as u32
    }

    fn start_attempt(&mut self, call: usize, remaining: u32) {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
        let attempt = Attempt {
            call,
            caller: (call % CALLER_COUNT) as u8,
            remaining,
            sent: 0,
            is_accepted: false,
            has_ended: false,
            holder: None,
        };
        let port = self.next_port;
        self.attempts.insert(port, attempt);
        for (copy, after_ms) in COPY_DELAYS_MS.iter().enumerate() {
            self.schedule(self.now_ms + after_ms, Event::Copy(port, copy as u32));
        }
        self.schedule(self.now_ms + OPEN_TIMEOUT_MS, Event::OpenTimeout(port));
    }

    /// Retries an attempt that was not accepted in time.
    fn give_up_opening(&mut self, port: u16) {
        if !self.attempts[&port].is_accepted {
            self.retry(port);
        }
    }

    fn send_copy(&mut self, port: u16, copy: u32) {
        let attempt = self.attempts[&port];
        let waited_ms = self.now_ms - self.calls[attempt.call].first_ms;
        if attempt.is_accepted || attempt.has_ended || waited_ms > self.plan.timeout_ms {
            return;
        }
        if self.policy.is_product() {
            self.forward(opener(&self.flow_key(port), copy));
        } else {
            let at = self.choose_server(&self.flow_key(port));
            self.schedule_after_delay(Event::Accepted(port, at));
        }
    }

    /// Returns the flow of an attempt.
    fn flow_key(&self, port: u16) -> FlowKey {
        let caller = self.attempts[&port].caller;
        flow_from(Ipv4Addr::new(100, 64, 0, caller), port)
    }

    /// Chooses a server as a balancer without agents does.
    fn choose_server(&self, key: &FlowKey) -> Ipv4Addr {
        let table = self
            .agents
            .directory
            .table(ServiceId::from_name(SERVICE))
            .expect("listed");
        let order = rank_targets(table, key.hash(), |_| true);
        let among = match self.policy {
            Policy::Hash => 1,
            Policy::TwoChoices => 2.min(order.len()),
            Policy::LeastLoaded
            | Policy::RetriesUnknown
            | Policy::MeanUnknown
            | Policy::Product => order.len(),
        };
        let load = |at: Ipv4Addr| self.reported_loads[usize::from(index_of(at)) - 1];
        let hosts = order[..among].iter().map(|row| row.host);
        let least = hosts.min_by(|one, other| load(*one).total_cmp(&load(*other)));
        least.expect("a server")
    }

    fn caller_receives(&mut self, at: Ipv4Addr, packet: &[u8]) {
        let segment = (WIRE.decode)(packet).expect("sound");
        let port = segment.flow_from_backend().caller.port();
        if segment.resets {
            self.schedule_after_delay(Event::Refused(port));
        } else if segment.accepts {
            self.schedule_after_delay(Event::Accepted(port, at));
        }
    }

    fn handle_accepted(&mut self, port: u16, at: Ipv4Addr) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.is_accepted || attempt.has_ended {
            return;
        }
        attempt.is_accepted = true;
        attempt.holder = Some(at);
        self.send_request(port, at);
    }

    /// Sends the next request of a flow that is open at a server.
    fn send_request(&mut self, port: u16, at: Ipv4Addr) {
        if !self.policy.is_product() {
            self.enqueue(at, port);
            return;
        }
        let attempt = self.attempts.get_mut(&port).expect("known");
        let sent = attempt.sent;
        attempt.sent += 1;
        let spec = PacketSpec {
            flags: ACK,
            sequence: 101 + REQUEST_BYTES * sent,
            acknowledgement: ACCEPTANCE_SEQUENCE + 1 + ANSWER_BYTES * sent,
            data_bytes: REQUEST_BYTES as usize,
        };
        self.forward(from_caller(&self.flow_key(port), spec));
    }

    fn send_next_request(&mut self, port: u16) {
        let now_ms = self.now_ms;
        let attempt = self.attempts.get_mut(&port).expect("known");
        // The flow ended with its server, or another flow has taken its port.
        let Some(at) = attempt.holder.filter(|_| attempt.remaining > 0) else {
            return;
        };
        attempt.remaining -= 1;
        attempt.has_ended = false;
        attempt.call = self.calls.len();
        self.calls.push(Call {
            first_ms: now_ms,
            retries: 0,
        });
        self.send_request(port, at);
    }

    fn retry(&mut self, port: u16) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.has_ended {
            return;
        }
        attempt.has_ended = true;
        attempt.holder = None;
        let (index, remaining) = (attempt.call, attempt.remaining);
        let call = &mut self.calls[index];
        call.retries += 1;
        if call.retries <= MAX_RETRIES && self.now_ms < call.first_ms + self.plan.timeout_ms {
            self.start_attempt(index, remaining);
        }
    }

    fn enqueue(&mut self, at: Ipv4Addr, port: u16) {
        let server = index_of(at) - 1;
        self.servers[usize::from(server)].queue.push(port);
        self.start_next_request(server);
    }

    fn start_next_request(&mut self, index: u16) {
        let mut slower = if index == 0 {
            self.plan.first_server_slowdown
        } else {
            1.0
        };
        if self.now_ms < self.cold_until_ms {
            slower *= self.plan.cold_ms_and_slowdown.1;
        }
        let server = &self.servers[usize::from(index)];
        let lifetime = server.lifetime;
        if server.running.len() >= self.plan.slots || server.queue.is_empty() {
            return;
        }
        let service_ms = self.draw_ms(self.plan.service_ms) * slower;
        let server = &mut self.servers[usize::from(index)];
        let port = server.queue.remove(0);
        server.running.push(port);
        server.request_count += 1;
        let done_ms = self.now_ms + service_ms.ceil() as u64;
        self.schedule(done_ms, Event::Done(index, port, lifetime));
    }

    fn finish_request(&mut self, index: u16, port: u16, lifetime: u32) {
        let server = &mut self.servers[usize::from(index)];
        if server.lifetime != lifetime {
            return;
        }
        server.running.retain(|running| *running != port);
        if self.policy.is_product() {
            let attempt = &self.attempts[&port];
            let sent = attempt.sent.max(1);
            let end = if attempt.remaining == 0 { FIN } else { 0 };
            let spec = PacketSpec {
                flags: ACK | end,
                sequence: ACCEPTANCE_SEQUENCE + 1 + ANSWER_BYTES * (sent - 1),
                acknowledgement: 101 + REQUEST_BYTES * sent,
                data_bytes: ANSWER_BYTES as usize,
            };
            self.backend_sends(host(index + 1), from_backend(&self.flow_key(port), spec));
        }
        self.record_answer(port);
        self.start_next_request(index);
    }

    fn record_answer(&mut self, port: u16) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.has_ended {
            return;
        }
        attempt.has_ended = true;
        let (call, remaining) = (attempt.call, attempt.remaining);
        if remaining > 0 {
            let pause_ms = self.draw_ms(self.plan.requests_per_flow_and_pause_ms.1) as u64;
            self.schedule(self.now_ms + pause_ms, Event::NextRequest(port));
        }
        let wait_ms = self.now_ms + MESSAGE_DELAY_MS - self.calls[call].first_ms;
        if wait_ms > self.plan.timeout_ms {
            return;
        }
        if wait_ms <= self.plan.objective_ms {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
        self.outcome.waits_ms.push(wait_ms);
    }
}
