//! Offers of openers from agent to agent, and the handling of agents that do not answer.

use std::net::Ipv4Addr;

use endivedyke::Suspicion;
use endivedyke::opaque::{Action, Directory, FlowKey, FlowSearch, Forwarder, MessageKind};

use crate::builder::{ZONE, directory, flow, forwarder, opener, set_deadline};

/// A balancer and its agents, on a route with a deadline.
struct Balancer {
    forwarder: Forwarder,
    directory: Directory,
    suspicion: Suspicion,
    now_ms: u64,
}

impl Balancer {
    fn with_agents(agents: u16) -> Self {
        let mut directory = directory(agents);
        set_deadline(&mut directory);
        Self {
            forwarder: forwarder(),
            directory,
            suspicion: Suspicion::default(),
            now_ms: 1_000,
        }
    }

    fn send_opener(&mut self, key: &FlowKey, copy: u32) -> (Ipv4Addr, MessageKind) {
        let packet = opener(key, copy);
        let (directory, suspicion) = (&self.directory, &mut self.suspicion);
        let action = self
            .forwarder
            .handle(directory, suspicion, packet, self.now_ms);
        sent(&action.expect("forwarded"))
    }

    fn decline(&mut self, key: &FlowKey, from: Ipv4Addr, wait_ms: u16) -> (Ipv4Addr, MessageKind) {
        let (directory, now_ms) = (&self.directory, self.now_ms);
        self.forwarder.record_wait(directory, from, wait_ms, now_ms);
        let next = self
            .forwarder
            .handle_decline(directory, &self.suspicion, key, from, now_ms);
        sent(&next.expect("offered on"))
    }

    /// Delivers an opener while there is no configuration.
    fn receive_early(&mut self, key: &FlowKey, copy: u32) {
        let (mut search, now_ms) = (FlowSearch::new(), self.now_ms);
        let packet = opener(key, copy);
        let result = self
            .forwarder
            .handle_without_routes(&mut search, &packet, now_ms);
        assert!(result.is_err(), "no flow opens without a configuration");
    }

    fn offer_early(&mut self) -> Vec<Action> {
        let (directory, suspicion) = (&self.directory, &mut self.suspicion);
        self.forwarder
            .offer_early_openers(directory, suspicion, self.now_ms)
    }

    fn advance(&mut self, ms: u64) -> Vec<(Ipv4Addr, MessageKind)> {
        self.now_ms += ms;
        let (directory, suspicion) = (&self.directory, &mut self.suspicion);
        let actions = self.forwarder.tick(directory, suspicion, self.now_ms);
        actions.iter().map(sent).collect()
    }
}

fn sent(action: &Action) -> (Ipv4Addr, MessageKind) {
    let Action::ToPeer(host, message, _) = action else {
        panic!("not forwarded: {action:?}");
    };
    (*host, message.kind)
}

#[test]
fn an_opener_is_offered_until_the_agent_with_the_least_wait_is_known() {
    let mut balancer = Balancer::with_agents(8);
    let (first, kind) = balancer.send_opener(&flow(1), 0);
    assert_eq!(kind, MessageKind::Offer);
    let (second, kind) = balancer.decline(&flow(1), first, 60);
    assert_eq!(kind, MessageKind::Offer);
    assert_ne!(first, second);
    let (third, kind) = balancer.decline(&flow(1), second, 20);
    assert_eq!(kind, MessageKind::Offer);
    let (fourth, kind) = balancer.decline(&flow(1), third, 40);
    assert_eq!(kind, MessageKind::Offer);
    let (fifth, kind) = balancer.decline(&flow(1), fourth, 50);
    assert_eq!(kind, MessageKind::Offer);
    let (last, kind) = balancer.decline(&flow(1), fifth, 30);
    assert_eq!((last, kind), (second, MessageKind::Deliver));
}

#[test]
fn the_one_of_five_agents_nearby_that_has_room_is_offered_the_opener_first() {
    let mut probe = Balancer::with_agents(8);
    let (first, _) = probe.send_opener(&flow(1), 0);
    let mut order = vec![first];
    for _ in 0..4 {
        let (next, _) = probe.decline(&flow(1), order[order.len() - 1], 60);
        assert!(!order.contains(&next), "{next} was asked twice");
        order.push(next);
    }
    let mut balancer = Balancer::with_agents(8);
    for (index, host) in order.iter().enumerate() {
        let wait_ms = if index == 4 { 0 } else { 60 };
        let (directory, now_ms) = (&balancer.directory, balancer.now_ms);
        let forwarder = &mut balancer.forwarder;
        forwarder.record_wait(directory, *host, wait_ms, now_ms);
    }
    assert_eq!(
        balancer.send_opener(&flow(1), 0),
        (order[4], MessageKind::Offer)
    );
}

#[test]
fn an_opener_without_an_answer_goes_to_another_agent() {
    let mut balancer = Balancer::with_agents(8);
    let (first, _) = balancer.send_opener(&flow(1), 0);
    assert!(balancer.advance(50).is_empty());
    let next = balancer.advance(60);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0].0, first);
    assert_eq!(
        next[0].1,
        MessageKind::Deliver,
        "the agent may run a version without offers"
    );
}

#[test]
fn copies_go_to_the_agent_that_has_the_opener_until_it_stops_answering() {
    let mut balancer = Balancer::with_agents(8);
    let (holder, _) = balancer.send_opener(&flow(1), 0);
    balancer
        .forwarder
        .record_holder(flow(1), holder, balancer.now_ms);
    assert!(balancer.advance(200).is_empty(), "it was answered");
    assert_eq!(
        balancer.send_opener(&flow(1), 1),
        (holder, MessageKind::Deliver)
    );
    let next = balancer.advance(110);
    assert_eq!(
        next.len(),
        1,
        "the agent that has the opener does not answer its copy"
    );
    assert_ne!(next[0].0, holder);
}

#[test]
fn without_a_deadline_openers_are_not_offered() {
    let mut balancer = Balancer::with_agents(8);
    balancer.directory.set_deadlines(Vec::new());
    let (_, kind) = balancer.send_opener(&flow(1), 0);
    assert_eq!(kind, MessageKind::Deliver);
}

#[test]
fn early_openers_are_offered_once_there_is_a_configuration() {
    let mut balancer = Balancer::with_agents(8);
    balancer.receive_early(&flow(1), 1);
    balancer.receive_early(&flow(2), 0);
    balancer.now_ms += 60;
    let actions = balancer.offer_early();
    let offered = actions.iter().map(|action| match action {
        Action::ToPeer(_, message, packet) => (message.kind, message.waited_ms, packet.clone()),
        other => panic!("not offered: {other:?}"),
    });
    let offered: Vec<_> = offered.collect();
    let offer = |port, copy| (MessageKind::Offer, 60, opener(&flow(port), copy));
    assert_eq!(offered, [offer(2, 0), offer(1, 1)]);
    assert!(balancer.offer_early().is_empty(), "each is offered once");
    assert_eq!(
        balancer.advance(110).len(),
        2,
        "their answers are awaited like those of other openers"
    );
}

#[test]
fn an_early_retry_keeps_the_wait_known_when_it_arrived() {
    let mut balancer = Balancer::with_agents(8);
    let key = flow(1);
    balancer
        .forwarder
        .record_failed_attempt(&key, 200, balancer.now_ms);
    balancer.receive_early(&key, 0);
    balancer.now_ms += 60;
    // The opener arrived before this failure was reported, so it is not a retry of that attempt.
    balancer
        .forwarder
        .record_failed_attempt(&key, 900, balancer.now_ms);
    let actions = balancer.offer_early();
    let [Action::ToPeer(_, message, _)] = actions.as_slice() else {
        panic!("not offered: {actions:?}");
    };
    assert_eq!(message.waited_ms, 260);
}

#[test]
fn early_openers_of_an_evacuated_service_are_reset() {
    let mut balancer = Balancer::with_agents(8);
    balancer.directory.set_zone_evacuated(ZONE, true, 200);
    balancer.receive_early(&flow(1), 0);
    let actions = balancer.offer_early();
    assert!(
        matches!(actions.as_slice(), [Action::ToCaller(..)]),
        "{actions:?}"
    );
}

#[test]
fn early_openers_without_a_deadline_are_not_offered() {
    let mut balancer = Balancer::with_agents(8);
    balancer.directory.set_deadlines(Vec::new());
    balancer.receive_early(&flow(1), 0);
    assert!(balancer.offer_early().is_empty());
}

#[test]
fn an_early_copy_is_not_offered_once_the_next_copy_is_due() {
    let mut balancer = Balancer::with_agents(8);
    balancer.receive_early(&flow(1), 0);
    balancer.now_ms += 200;
    assert!(balancer.offer_early().is_empty());
}
