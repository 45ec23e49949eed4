//! The number of messages for each flow stays within `bounds.txt` at any size of a site.

use std::net::Ipv4Addr;

use endivedyke::ServiceId;
use endivedyke::opaque::{Action, AgentContext, FlowAgent, FlowKey, Message, MessageKind};

use crate::builder::{
    Agents, BALANCER, SERVICE, acceptance, flow, forwarder, host, index_of, opener, request,
};

const SIZES: [u16; 4] = [7, 45, 250, 1_000];
const FLOWS: u16 = 400;
const NOW_MS: u64 = 1_000;
const BOUNDS: &str = include_str!("../../bounds.txt");

pub(crate) fn bound(name: &str) -> f64 {
    let line = BOUNDS
        .lines()
        .find(|line| line.split_whitespace().next() == Some(name));
    let bound = line.and_then(|line| line.split_whitespace().nth(2)?.parse().ok());
    bound.unwrap_or_else(|| panic!("{name} is not in bounds.txt"))
}

/// Agents that get each other's messages at once, with a count of the messages.
struct Site {
    agents: Agents,
    messages: usize,
    now_ms: u64,
}

impl Site {
    fn new(size: u16) -> Self {
        Self {
            agents: Agents::new(size),
            messages: 0,
            now_ms: NOW_MS,
        }
    }

    fn with_agent<T>(
        &mut self,
        at: Ipv4Addr,
        decide: impl FnOnce(&mut FlowAgent, &AgentContext<'_>) -> T,
    ) -> T {
        self.agents.with_agent(at, self.now_ms, decide)
    }

    /// Delivers a message and all messages that follow from it. Returns the agent that handed the packet to
    /// its backend server.
    fn send(
        &mut self,
        to: Ipv4Addr,
        from: Ipv4Addr,
        message: &Message,
        payload: &[u8],
    ) -> Option<Ipv4Addr> {
        self.messages += 1;
        if to == BALANCER {
            return None;
        }
        let actions = self.with_agent(to, |agent, context| {
            agent.handle_peer_message(context, from, message, payload)
        });
        self.run_actions(to, actions.expect("sound packet"))
    }

    /// Runs the actions of an agent. Returns the agent that handed a packet to its backend server.
    fn run_actions(&mut self, at: Ipv4Addr, actions: Vec<Action>) -> Option<Ipv4Addr> {
        let mut holder = None;
        for action in actions {
            match action {
                Action::ToBackend(_) => holder = Some(at),
                Action::ToPeer(next, message, payload) => {
                    holder = holder.or(self.send(next, at, &message, &payload));
                }
                Action::ToCaller(..) => {}
            }
        }
        holder
    }

    /// Ticks an agent after a time. Returns the agent that handed a packet to its backend server.
    fn tick_after(&mut self, elapsed_ms: u64, at: Ipv4Addr) -> Option<Ipv4Addr> {
        self.now_ms += elapsed_ms;
        let actions = self.with_agent(at, |agent, context| agent.tick(context));
        self.run_actions(at, actions)
    }

    fn deliver(&mut self, to: Ipv4Addr, packet: &[u8]) -> Option<Ipv4Addr> {
        let mut message = Message::new(MessageKind::Deliver);
        message.host = BALANCER;
        self.send(to, BALANCER, &message, packet)
    }

    fn first_choice(&mut self, packet: Vec<u8>) -> Ipv4Addr {
        let action = forwarder().handle(
            &self.agents.directory,
            &mut self.agents.suspicion,
            packet,
            NOW_MS,
        );
        match action.expect("forwarded") {
            Action::ToPeer(host, ..) => host,
            other => panic!("not forwarded: {other:?}"),
        }
    }

    /// Returns the agent at a place in the placement order of a flow.
    fn agent_in_order(&self, key: &FlowKey, place: usize) -> Ipv4Addr {
        let table = self.agents.directory.table(ServiceId::from_name(SERVICE));
        let table = table.expect("a service");
        endivedyke::rank_targets(table, key.hash(), |_| true)[place].host
    }

    /// Fills every second backend server up to its limit.
    fn fill_every_second(&mut self) {
        let mut port = 20_000;
        for index in (1..=self.agents.count()).step_by(2) {
            for _ in 0..8 {
                port += 1;
                self.deliver(host(index), &opener(&flow(port), 0));
            }
        }
        self.messages = 0;
    }

    fn open(&mut self, key: &FlowKey, at: Ipv4Addr) {
        let answer = self.with_agent(at, |agent, context| {
            agent.handle_backend_packet(context, acceptance(key, 500))
        });
        answer.expect("sound packet");
        self.deliver(at, &request(key, 501));
    }
}

#[test]
fn openers_are_taken_within_few_messages_at_any_size() {
    for size in SIZES {
        let mut site = Site::new(size);
        site.fill_every_second();
        // A quarter of the free places, so that there is room for all openers.
        let openers = FLOWS.min(size / 2 * 2);
        let mut taken = 0;
        for port in 0..openers {
            let packet = opener(&flow(port), 0);
            let first = site.first_choice(packet.clone());
            taken += u32::from(site.deliver(first, &packet).is_some());
        }
        let each = site.messages as f64 / f64::from(openers);
        let share = f64::from(taken) / f64::from(openers);
        assert!(
            each <= bound("opaque_messages_an_opener_half_crowded"),
            "{size}: {each}"
        );
        assert!(
            share >= bound("opaque_openers_taken_half_crowded"),
            "{size}: {share}"
        );
    }
}

#[test]
fn a_lookup_finds_a_flow_within_few_messages_at_any_size() {
    for size in SIZES {
        for port in 0..20 {
            let mut site = Site::new(size);
            let key = flow(port);
            let first = site.first_choice(opener(&key, 0));
            let holder = site.deliver(first, &opener(&key, 0)).expect("taken");
            site.open(&key, holder);
            let asked = host(1 + (index_of(holder) + 2) % size);
            site.messages = 0;
            let found = site.deliver(asked, &request(&key, 501));
            assert_eq!(found, Some(holder), "{size}, flow {port}");
            let messages = site.messages as f64;
            assert!(
                messages <= bound("opaque_messages_a_question"),
                "{size}: {messages}"
            );
            site.messages = 0;
            let found = site.deliver(asked, &request(&key, 501));
            assert_eq!(found, Some(holder), "{size}, flow {port}");
            assert!(site.messages as f64 <= bound("opaque_messages_a_packet_held_elsewhere"));
        }
    }
}

#[test]
fn a_flow_whose_opener_was_passed_on_often_is_found_within_bounded_messages() {
    for size in [300, 1_000, 6_000] {
        let mut site = Site::new(size);
        for (port, place) in [(7, 20), (8, 60), (9, 200)] {
            let key = flow(port);
            let holder = site.agent_in_order(&key, place);
            site.deliver(holder, &opener(&key, 0));
            site.open(&key, holder);
            let asked = site.first_choice(request(&key, 501));
            site.messages = 0;
            let mut found = site.deliver(asked, &request(&key, 501));
            for elapsed_ms in [20, 200, 200] {
                found = found.or_else(|| site.tick_after(elapsed_ms, asked));
            }
            assert_eq!(found, Some(holder), "{size}, place {place}");
            let messages = site.messages as f64;
            assert!(
                messages <= bound("opaque_messages_a_question_far_away"),
                "{size}, place {place}: {messages}"
            );
        }
    }
}

#[test]
fn a_flow_at_an_unlikely_agent_is_found_by_querying_all() {
    for size in [7, 45, 250] {
        let mut site = Site::new(size);
        let key = flow(7);
        let holder = host(size);
        site.deliver(holder, &opener(&key, 0));
        site.open(&key, holder);
        let asked = host(1);
        site.messages = 0;
        let first = site.deliver(asked, &request(&key, 501));
        let found = first.or_else(|| site.tick_after(20, asked));
        assert_eq!(found, Some(holder), "{size}");
        let each = site.messages as f64 / f64::from(size);
        assert!(
            each <= bound("opaque_messages_a_question_an_agent"),
            "{size}: {each}"
        );
    }
}
