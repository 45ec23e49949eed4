//! Openers that a balancer offers from agent to agent, and what it does when one of them fails.

use std::net::Ipv4Addr;

use endivedyke::Suspicion;
use endivedyke::opaque::{Action, Directory, FlowKey, FlowSearch, Forwarder, MessageKind};

use crate::builder::{ZONE, directory, flow, forwarder, opener, tell_deadline};

/// A balancer before some agents whose callers have time for one attempt.
struct Balancer {
    forwarder: Forwarder,
    directory: Directory,
    suspicion: Suspicion,
    now_ms: u64,
}

impl Balancer {
    fn before(agents: u16) -> Self {
        let mut directory = directory(agents);
        tell_deadline(&mut directory);
        Self {
            forwarder: forwarder(),
            directory,
            suspicion: Suspicion::default(),
            now_ms: 1_000,
        }
    }

    fn sends(&mut self, key: &FlowKey, copy: u32) -> (Ipv4Addr, MessageKind) {
        let packet = opener(key, copy);
        let (directory, suspicion) = (&self.directory, &mut self.suspicion);
        let action = self
            .forwarder
            .handle(directory, suspicion, packet, self.now_ms);
        sent(&action.expect("forwarded"))
    }

    fn hears_decline(
        &mut self,
        key: &FlowKey,
        from: Ipv4Addr,
        wait_ms: u16,
    ) -> (Ipv4Addr, MessageKind) {
        let (directory, now_ms) = (&self.directory, self.now_ms);
        self.forwarder.record_wait(directory, from, wait_ms, now_ms);
        let next = self
            .forwarder
            .handle_decline(directory, &self.suspicion, key, from, now_ms);
        sent(&next.expect("offered on"))
    }

    /// Lets an opener come while no configuration is known.
    fn hears_early(&mut self, key: &FlowKey, copy: u32) {
        let (mut search, now_ms) = (FlowSearch::new(), self.now_ms);
        let packet = opener(key, copy);
        let result = self
            .forwarder
            .handle_without_routes(&mut search, &packet, now_ms);
        assert!(result.is_err(), "nothing opens without a configuration");
    }

    fn learns_routes(&mut self) -> Vec<Action> {
        let (directory, suspicion) = (&self.directory, &mut self.suspicion);
        self.forwarder
            .offer_early_openers(directory, suspicion, self.now_ms)
    }

    fn passes(&mut self, ms: u64) -> Vec<(Ipv4Addr, MessageKind)> {
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
fn an_opener_is_offered_until_the_least_wait_is_known() {
    let mut balancer = Balancer::before(8);
    let (first, kind) = balancer.sends(&flow(1), 0);
    assert_eq!(kind, MessageKind::Offer);
    let (second, kind) = balancer.hears_decline(&flow(1), first, 60);
    assert_eq!(kind, MessageKind::Offer);
    assert_ne!(first, second);
    let (third, kind) = balancer.hears_decline(&flow(1), second, 20);
    assert_eq!(kind, MessageKind::Offer);
    let (fourth, kind) = balancer.hears_decline(&flow(1), third, 40);
    assert_eq!(kind, MessageKind::Offer);
    let (fifth, kind) = balancer.hears_decline(&flow(1), fourth, 50);
    assert_eq!(kind, MessageKind::Offer);
    let (last, kind) = balancer.hears_decline(&flow(1), fifth, 30);
    assert_eq!((last, kind), (second, MessageKind::Deliver));
}

#[test]
fn the_one_of_five_nearby_that_has_room_is_asked_first() {
    let mut asked = Balancer::before(8);
    let (first, _) = asked.sends(&flow(1), 0);
    let mut order = vec![first];
    for _ in 0..4 {
        let (next, _) = asked.hears_decline(&flow(1), order[order.len() - 1], 60);
        assert!(!order.contains(&next), "{next} was asked twice");
        order.push(next);
    }
    let mut balancer = Balancer::before(8);
    for (index, host) in order.iter().enumerate() {
        let wait_ms = if index == 4 { 0 } else { 60 };
        let (directory, now_ms) = (&balancer.directory, balancer.now_ms);
        let forwarder = &mut balancer.forwarder;
        forwarder.record_wait(directory, *host, wait_ms, now_ms);
    }
    assert_eq!(balancer.sends(&flow(1), 0), (order[4], MessageKind::Offer));
}

#[test]
fn an_agent_that_says_nothing_is_left_for_another() {
    let mut balancer = Balancer::before(8);
    let (first, _) = balancer.sends(&flow(1), 0);
    assert!(balancer.passes(50).is_empty());
    let next = balancer.passes(60);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0].0, first);
    assert_eq!(next[0].1, MessageKind::Deliver, "agents may know no offers");
}

#[test]
fn copies_go_where_the_opener_waits_and_elsewhere_once_that_agent_is_dead() {
    let mut balancer = Balancer::before(8);
    let (holder, _) = balancer.sends(&flow(1), 0);
    balancer.forwarder.record_holder(flow(1), holder, balancer.now_ms);
    assert!(balancer.passes(200).is_empty(), "it was answered");
    assert_eq!(balancer.sends(&flow(1), 1), (holder, MessageKind::Deliver));
    let next = balancer.passes(110);
    assert_eq!(
        next.len(),
        1,
        "the agent that held it says nothing to its copy"
    );
    assert_ne!(next[0].0, holder);
}

#[test]
fn without_a_deadline_openers_are_not_offered() {
    let mut balancer = Balancer::before(8);
    balancer.directory.set_deadlines(Vec::new());
    let (_, kind) = balancer.sends(&flow(1), 0);
    assert_eq!(kind, MessageKind::Deliver);
}

#[test]
fn what_came_before_the_configuration_is_offered_with_it() {
    let mut balancer = Balancer::before(8);
    balancer.hears_early(&flow(1), 1);
    balancer.hears_early(&flow(2), 0);
    balancer.now_ms += 60;
    let actions = balancer.learns_routes();
    let offered = actions.iter().map(|action| match action {
        Action::ToPeer(_, message, packet) => (message.kind, message.waited_ms, packet.clone()),
        other => panic!("not offered: {other:?}"),
    });
    let offered: Vec<_> = offered.collect();
    let offer = |port, copy| (MessageKind::Offer, 60, opener(&flow(port), copy));
    assert_eq!(offered, [offer(2, 0), offer(1, 1)]);
    assert!(balancer.learns_routes().is_empty(), "each is offered once");
    assert_eq!(
        balancer.passes(110).len(),
        2,
        "they are watched like others"
    );
}

#[test]
fn a_retry_that_came_before_the_configuration_has_waited_no_longer_than_it_did() {
    let mut balancer = Balancer::before(8);
    let key = flow(1);
    balancer
        .forwarder
        .record_failed_attempt(&key, 200, balancer.now_ms);
    balancer.hears_early(&key, 0);
    balancer.now_ms += 60;
    // A failure that is told later is not the one of which this is the retry.
    balancer
        .forwarder
        .record_failed_attempt(&key, 900, balancer.now_ms);
    let actions = balancer.learns_routes();
    let [Action::ToPeer(_, message, _)] = actions.as_slice() else {
        panic!("not offered: {actions:?}");
    };
    assert_eq!(message.waited_ms, 260);
}

#[test]
fn a_service_that_is_evacuated_refuses_what_came_before_the_configuration() {
    let mut balancer = Balancer::before(8);
    balancer.directory.set_evacuated(ZONE, true, 200);
    balancer.hears_early(&flow(1), 0);
    let actions = balancer.learns_routes();
    assert!(
        matches!(actions.as_slice(), [Action::ToCaller(..)]),
        "{actions:?}"
    );
}

#[test]
fn what_came_before_the_configuration_is_left_to_its_caller_without_a_deadline() {
    let mut balancer = Balancer::before(8);
    balancer.directory.set_deadlines(Vec::new());
    balancer.hears_early(&flow(1), 0);
    assert!(balancer.learns_routes().is_empty());
}

#[test]
fn a_copy_that_came_before_the_configuration_is_not_offered_once_the_next_is_due() {
    let mut balancer = Balancer::before(8);
    balancer.hears_early(&flow(1), 0);
    balancer.now_ms += 200;
    assert!(balancer.learns_routes().is_empty());
}
