//! Openers, balancers, agents and backend servers in model time, under one policy of placement.
//!
//! The product's policy is the product's own code, with every message a millisecond on its way. The others
//! are what a balancer alone could do: it sends an opener to one server for good, by hash, by the loads
//! that it heard last, or both.

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

/// How long a message is on its way, in milliseconds.
const HOP_MS: u64 = 1;
/// How often a balancer hears each agent without a reason, in milliseconds, as in the product.
const BEAT_MS: u64 = 250;
/// How often processes look at what they wait for, in milliseconds, as in the product.
const TICK_MS: u64 = 10;
/// When callers send the copies of an opener, in milliseconds after the first.
const COPIES_MS: [u64; 3] = [0, 200, 600];
/// How long an opener may stay without an answer, in milliseconds.
const OPEN_TIMEOUT_MS: u64 = 1_400;
/// How often a caller tries again that was refused.
const RETRIES: u32 = 2;
/// How many callers there are; each has an address of its own.
const CALLERS: usize = 100;
const ACCEPTED: u32 = 500;
/// The length of a request and of an answer, in bytes.
const REQUEST_BYTES: u32 = 40;
const ANSWER_BYTES: u32 = 100;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Copy(u16, u32),
    ToAgent(Ipv4Addr, Ipv4Addr, Vec<u8>),
    ToBalancer(Ipv4Addr, Vec<u8>),
    Accepted(u16, Ipv4Addr),
    Refused(u16),
    Done(u16, u16, u32),
    NextRequest(u16),
    Tick,
    Beat,
    OpenTimeout(u16),
    PowerLost,
    PowerBack,
}

/// Returns the agents of a plan, which know what is published.
fn agents(plan: &Plan) -> Agents {
    let mut agents = Agents::new(plan.servers);
    publish_slots(&mut agents.directory, plan, 1_000, 0);
    if plan.has_deadline {
        let text = format!("{CALLED},{},{}\n", plan.aim_ms, plan.timeout_ms);
        agents
            .directory
            .set_deadlines(parse_deadlines(&text).expect("sound"));
    }
    agents
}

/// Returns the balancers of a plan, which know nothing yet.
fn forwarders(plan: &Plan) -> Vec<Forwarder> {
    (0..plan.balancers).map(|_| forwarder()).collect()
}

/// A caller's request, which keeps its place through all attempts.
#[derive(Debug, Clone, Copy)]
struct Call {
    first_ms: u64,
    tries: u32,
}

/// A flow of an attempt.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    call: usize,
    /// Which of the callers it is.
    caller: u8,
    /// The requests that follow on its flow, and those that went before.
    left: u32,
    sent: u32,
    accepted: bool,
    over: bool,
    /// The server that holds its flow.
    open_at: Option<Ipv4Addr>,
}

#[derive(Debug, Default)]
struct Server {
    /// Ports of flows whose requests run or wait, in order.
    queue: Vec<u16>,
    running: Vec<u16>,
    lives: u32,
    ran: usize,
}

/// The model.
pub(crate) struct Model {
    plan: Plan,
    policy: Policy,
    rng: StdRng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    agents: Agents,
    forwarders: Vec<Forwarder>,
    told: Vec<f64>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    attempts: BTreeMap<u16, Attempt>,
    next_port: u16,
    next_arrival_ms: f64,
    dark: bool,
    cold_until_ms: u64,
    outcome: Outcome,
}

impl Model {
    /// Plays a plan under a policy and returns what callers got.
    pub(crate) fn run(plan: &Plan, policy: Policy) -> Outcome {
        let mut model = Self::new(plan, policy);
        model.at(0, Event::Arrival);
        model.at(TICK_MS, Event::Tick);
        model.at(BEAT_MS, Event::Beat);
        if let Some((at_ms, for_ms)) = plan.power_lost_ms {
            model.at(at_ms, Event::PowerLost);
            model.at(at_ms + for_ms, Event::PowerBack);
        }
        let until_ms = plan.for_ms + plan.timeout_ms;
        while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
            if at_ms > until_ms {
                break;
            }
            model.now_ms = at_ms;
            model.play(event);
        }
        let mut outcome = model.outcome;
        outcome.asked = model.calls.len();
        outcome.failed = outcome.asked - outcome.in_time - outcome.late;
        outcome.waits_ms.sort_unstable();
        outcome.ran = model.servers.iter().map(|server| server.ran).collect();
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
            agents: agents(plan),
            forwarders: forwarders(plan),
            told: vec![0.0; usize::from(plan.servers)],
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
            calls: Vec::new(),
            attempts: BTreeMap::new(),
            next_port: 1_024,
            next_arrival_ms: 0.0,
            dark: false,
            cold_until_ms: 0,
            outcome: Outcome::default(),
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_ms, self.next_event, event)));
    }

    fn soon(&mut self, event: Event) {
        self.at(self.now_ms + HOP_MS, event);
    }

    fn play(&mut self, event: Event) {
        let needs_power = matches!(
            event,
            Event::Copy(..) | Event::ToAgent(..) | Event::ToBalancer(..)
        );
        if self.dark && needs_power {
            return;
        }
        match event {
            Event::Arrival => self.arrival(),
            Event::Copy(port, copy) => self.copy(port, copy),
            Event::ToAgent(at, from, datagram) => self.agent_hears(at, from, &datagram),
            Event::ToBalancer(from, datagram) => self.balancer_hears(from, &datagram),
            Event::Accepted(port, at) => self.accepted(port, at),
            Event::Refused(port) => self.try_again(port),
            Event::Done(server, port, lives) => self.done(server, port, lives),
            Event::NextRequest(port) => self.next_request(port),
            Event::Tick => self.tick(),
            Event::Beat => self.beat(),
            Event::OpenTimeout(port) => self.give_up_opening(port),
            Event::PowerLost => self.lose_power(),
            Event::PowerBack => self.regain_power(),
        }
    }

    /// Returns an exponentially distributed time.
    fn draw_ms(&mut self, mean_ms: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform.ln() * mean_ms
    }

    fn arrival(&mut self) {
        let slots = f64::from(self.plan.servers) * self.plan.slots as f64;
        let mut per_ms = self.plan.load * slots / self.plan.work_ms / self.plan.flow.0;
        if let Some((from_ms, until_ms, more)) = self.plan.burst
            && (from_ms..until_ms).contains(&self.now_ms)
        {
            per_ms *= more;
        }
        // Several may come in one millisecond: the clock has no finer steps, and the rest is carried on.
        while self.next_arrival_ms < (self.now_ms + 1) as f64 {
            self.calls.push(Call {
                first_ms: self.now_ms,
                tries: 0,
            });
            let left = self.draw_left();
            self.attempt(self.calls.len() - 1, left);
            self.next_arrival_ms += self.draw_ms(1.0 / per_ms);
        }
        let next_ms = self.next_arrival_ms as u64;
        if next_ms < self.plan.for_ms {
            self.at(next_ms, Event::Arrival);
        }
    }

    /// Draws how many requests follow the first of a flow.
    fn draw_left(&mut self) -> u32 {
        let mean = self.plan.flow.0 - 1.0;
        if mean <= 0.0 {
            return 0;
        }
        self.draw_ms(mean).round() as u32
    }

    fn attempt(&mut self, call: usize, left: u32) {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_024);
        let attempt = Attempt {
            call,
            caller: (call % CALLERS) as u8,
            left,
            sent: 0,
            accepted: false,
            over: false,
            open_at: None,
        };
        let port = self.next_port;
        self.attempts.insert(port, attempt);
        for (copy, after_ms) in COPIES_MS.iter().enumerate() {
            self.at(self.now_ms + after_ms, Event::Copy(port, copy as u32));
        }
        self.at(self.now_ms + OPEN_TIMEOUT_MS, Event::OpenTimeout(port));
    }

    fn give_up_opening(&mut self, port: u16) {
        if !self.attempts[&port].accepted {
            self.try_again(port);
        }
    }

    fn copy(&mut self, port: u16, copy: u32) {
        let attempt = self.attempts[&port];
        let waited_ms = self.now_ms - self.calls[attempt.call].first_ms;
        if attempt.accepted || attempt.over || waited_ms > self.plan.timeout_ms {
            return;
        }
        if self.policy.is_product() {
            self.forward(opener(&self.key(port), copy));
        } else {
            let at = self.choose(&self.key(port));
            self.soon(Event::Accepted(port, at));
        }
    }

    /// Returns the flow of an attempt.
    fn key(&self, port: u16) -> FlowKey {
        let caller = self.attempts[&port].caller;
        flow_from(Ipv4Addr::new(100, 64, 0, caller), port)
    }

    /// Chooses a server as a balancer does that is alone.
    fn choose(&self, key: &FlowKey) -> Ipv4Addr {
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
        let told = |at: Ipv4Addr| self.told[usize::from(index_of(at)) - 1];
        let hosts = order[..among].iter().map(|row| row.host);
        let least = hosts.min_by(|one, other| told(*one).total_cmp(&told(*other)));
        least.expect("a server")
    }

    fn caller_hears(&mut self, at: Ipv4Addr, packet: &[u8]) {
        let segment = (WIRE.decode)(packet).expect("sound");
        let port = segment.flow_from_backend().caller.port();
        if segment.resets {
            self.soon(Event::Refused(port));
        } else if segment.accepts {
            self.soon(Event::Accepted(port, at));
        }
    }

    fn accepted(&mut self, port: u16, at: Ipv4Addr) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.accepted || attempt.over {
            return;
        }
        attempt.accepted = true;
        attempt.open_at = Some(at);
        self.send_request(port, at);
    }

    /// Sends the next request of a flow, which is open at a server.
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
            acknowledgement: ACCEPTED + 1 + ANSWER_BYTES * sent,
            data_bytes: REQUEST_BYTES as usize,
        };
        self.forward(from_caller(&self.key(port), spec));
    }

    fn next_request(&mut self, port: u16) {
        let now_ms = self.now_ms;
        let attempt = self.attempts.get_mut(&port).expect("known");
        // The flow ended with its server, or its port was taken by another one.
        let Some(at) = attempt.open_at.filter(|_| attempt.left > 0) else {
            return;
        };
        attempt.left -= 1;
        attempt.over = false;
        attempt.call = self.calls.len();
        self.calls.push(Call {
            first_ms: now_ms,
            tries: 0,
        });
        self.send_request(port, at);
    }

    fn try_again(&mut self, port: u16) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.over {
            return;
        }
        attempt.over = true;
        attempt.open_at = None;
        let (index, left) = (attempt.call, attempt.left);
        let call = &mut self.calls[index];
        call.tries += 1;
        if call.tries <= RETRIES && self.now_ms < call.first_ms + self.plan.timeout_ms {
            self.attempt(index, left);
        }
    }

    fn enqueue(&mut self, at: Ipv4Addr, port: u16) {
        let server = index_of(at) - 1;
        self.servers[usize::from(server)].queue.push(port);
        self.serve(server);
    }

    fn serve(&mut self, index: u16) {
        let mut slower = if index == 0 {
            self.plan.first_slower
        } else {
            1.0
        };
        if self.now_ms < self.cold_until_ms {
            slower *= self.plan.cold.1;
        }
        let server = &self.servers[usize::from(index)];
        let lives = server.lives;
        if server.running.len() >= self.plan.slots || server.queue.is_empty() {
            return;
        }
        let work_ms = self.draw_ms(self.plan.work_ms) * slower;
        let server = &mut self.servers[usize::from(index)];
        let port = server.queue.remove(0);
        server.running.push(port);
        server.ran += 1;
        let done_ms = self.now_ms + work_ms.ceil() as u64;
        self.at(done_ms, Event::Done(index, port, lives));
    }

    fn done(&mut self, index: u16, port: u16, lives: u32) {
        let server = &mut self.servers[usize::from(index)];
        if server.lives != lives {
            return;
        }
        server.running.retain(|running| *running != port);
        if self.policy.is_product() {
            let attempt = &self.attempts[&port];
            let sent = attempt.sent.max(1);
            let end = if attempt.left == 0 { FIN } else { 0 };
            let spec = PacketSpec {
                flags: ACK | end,
                sequence: ACCEPTED + 1 + ANSWER_BYTES * (sent - 1),
                acknowledgement: 101 + REQUEST_BYTES * sent,
                data_bytes: ANSWER_BYTES as usize,
            };
            self.backend_says(host(index + 1), from_backend(&self.key(port), spec));
        }
        self.answered(port);
        self.serve(index);
    }

    fn answered(&mut self, port: u16) {
        let attempt = self.attempts.get_mut(&port).expect("known");
        if attempt.over {
            return;
        }
        attempt.over = true;
        let (call, left) = (attempt.call, attempt.left);
        if left > 0 {
            let pause_ms = self.draw_ms(self.plan.flow.1) as u64;
            self.at(self.now_ms + pause_ms, Event::NextRequest(port));
        }
        let wait_ms = self.now_ms + HOP_MS - self.calls[call].first_ms;
        if wait_ms > self.plan.timeout_ms {
            return;
        }
        if wait_ms <= self.plan.aim_ms {
            self.outcome.in_time += 1;
        } else {
            self.outcome.late += 1;
        }
        self.outcome.waits_ms.push(wait_ms);
    }
}
