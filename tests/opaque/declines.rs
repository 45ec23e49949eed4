//! Openers that an agent declines in favor of a less loaded agent.

use std::net::Ipv4Addr;

use endivedyke::Suspicion;
use endivedyke::opaque::{Action, Message, MessageKind, UNKNOWN_LOAD_PERMILLE, decode_steady_load};

use crate::builder::{
    AgentUnderTest, BALANCER, directory, flow, forwarder, host, opener, reaches_backend, receivers,
};

/// Returns an agent whose backend server has run four requests for five seconds: one for each of
/// its slots.
fn loaded_agent() -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(20, true);
    for port in 1..=4 {
        agent.open(&flow(port), 500);
    }
    advance(&mut agent, 2_500);
    // Unanswered requests stop counting after a while, so these flows bring new ones.
    for port in 5..=8 {
        agent.open(&flow(port), 500);
    }
    advance(&mut agent, 2_500);
    agent
}

fn advance(agent: &mut AgentUnderTest, for_ms: u64) {
    agent.sample_load();
    agent.now_ms += for_ms;
    agent.flow_agent.expire(agent.now_ms);
    agent.sample_load();
}

/// Delivers an opener with a mean load and returns the agent's actions.
fn open(agent: &mut AgentUnderTest, load_permille: u16) -> Vec<Action> {
    let mut message = Message::new(MessageKind::Deliver);
    message.host = BALANCER;
    message.load_permille = load_permille;
    agent.deliver_message(BALANCER, message, &opener(&flow(900), 0))
}

#[test]
fn an_agent_loaded_above_the_mean_declines_openers() {
    for (mean, declines) in [
        (UNKNOWN_LOAD_PERMILLE, false),
        (3_000, false),
        (1_300, false),
        (100, true),
        (0, true),
    ] {
        let mut agent = loaded_agent();
        // The old requests no longer count, so there is room for the opener.
        agent.now_ms += 1_000;
        agent.flow_agent.expire(agent.now_ms);
        let actions = open(&mut agent, mean);
        let declined = receivers(&actions, MessageKind::Declined);
        assert_eq!(declined.len(), usize::from(declines), "{mean}: {actions:?}");
        assert_eq!(reaches_backend(&actions), !declines, "{mean}");
    }
}

#[test]
fn openers_from_other_agents_are_not_declined() {
    let mut agent = loaded_agent();
    let mut message = Message::new(MessageKind::HandOn);
    message.load_permille = 1;
    let actions = agent.deliver_message(host(2), message, &opener(&flow(900), 0));
    assert!(reaches_backend(&actions));
}

#[test]
fn openers_of_callers_that_have_waited_are_not_declined() {
    let mut agent = loaded_agent();
    let mut message = Message::new(MessageKind::Deliver);
    message.load_permille = 1;
    message.waited_ms = 300;
    let actions = agent.deliver_message(BALANCER, message, &opener(&flow(900), 0));
    assert!(receivers(&actions, MessageKind::Declined).is_empty());
    message.waited_ms = 0;
    let actions = agent.deliver_message(BALANCER, message, &opener(&flow(901), 1));
    assert!(receivers(&actions, MessageKind::Declined).is_empty());
}

#[test]
fn an_agent_that_has_just_started_declines_nothing() {
    let mut agent = AgentUnderTest::new(20, true);
    for port in 1..=4 {
        agent.open(&flow(port), 500);
    }
    advance(&mut agent, 1_000);
    let actions = open(&mut agent, 1);
    assert!(receivers(&actions, MessageKind::Declined).is_empty());
}

/// Returns the receiver and the load of the message in which an action sends an opener.
fn host_and_load(action: Option<Action>) -> (Ipv4Addr, u16) {
    match action {
        Some(Action::ToPeer(host, message, _)) => (host, message.load_permille),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_declined_opener_is_offered_to_other_agents_and_then_assigned() {
    let directory = directory(20);
    let mut balancer = forwarder();
    for index in 1..=20 {
        balancer.record_steady_load(host(index), 200, 1_000);
    }
    let (key, mut suspicion) = (flow(1), Suspicion::default());
    let first = balancer.handle(&directory, &mut suspicion, opener(&key, 0), 1_100);
    let mut asked = vec![host_and_load(first.ok())];
    while let Some((last, 200)) = asked.last().copied() {
        let next = balancer.handle_decline(&directory, &suspicion, &key, last, 1_101);
        asked.push(host_and_load(next));
    }
    assert_eq!(asked.len(), 4, "{asked:?}");
    assert_eq!(
        asked[3].1, UNKNOWN_LOAD_PERMILLE,
        "the last agent can't decline"
    );
    let mut hosts: Vec<Ipv4Addr> = asked.iter().map(|(host, _)| *host).collect();
    hosts.sort_unstable();
    hosts.dedup();
    assert_eq!(hosts.len(), 4, "{asked:?}");
}

#[test]
fn a_declined_opener_whose_next_agent_is_dead_is_sent_to_another_agent() {
    let directory = directory(20);
    let mut balancer = forwarder();
    let (key, mut suspicion) = (flow(1), Suspicion::default());
    let first = balancer.handle(&directory, &mut suspicion, opener(&key, 0), 1_100);
    let (first, _) = host_and_load(first.ok());
    let second = balancer.handle_decline(&directory, &suspicion, &key, first, 1_101);
    let (second, _) = host_and_load(second);
    assert!(balancer.tick(&directory, &mut suspicion, 1_200).is_empty());
    let actions = balancer.tick(&directory, &mut suspicion, 1_201);
    let (third, _) = host_and_load(actions.into_iter().next());
    assert!(third != first && third != second);
    let again = balancer.handle_decline(&directory, &suspicion, &key, first, 1_202);
    assert_eq!(
        again, None,
        "a late answer of an agent that was asked before"
    );
}

/// Returns the mean load in the opener that a balancer sends after it received these loads from
/// agents.
fn mean_in_opener(servers: u16, heard: &[u16]) -> u16 {
    let directory = directory(servers);
    let mut balancer = forwarder();
    for (index, permille) in (1..).zip(heard) {
        balancer.record_steady_load(host(index), *permille, 1_000);
    }
    let mut suspicion = Suspicion::default();
    let packet = opener(&flow(1), 0);
    let action = balancer.handle(&directory, &mut suspicion, packet, 1_100);
    match action.expect("routed") {
        Action::ToPeer(_, message, _) => message.load_permille,
        other => panic!("{other:?}"),
    }
}

#[test]
fn openers_carry_the_mean_load_if_enough_loads_of_a_large_service_are_known() {
    assert_eq!(mean_in_opener(20, &[100, 200, 300, 400]), 250);
    assert_eq!(
        mean_in_opener(20, &[100, 200, 300]),
        UNKNOWN_LOAD_PERMILLE,
        "too few loads are known"
    );
    assert_eq!(
        mean_in_opener(15, &[100, 200, 300, 400]),
        UNKNOWN_LOAD_PERMILLE,
        "the service is too small"
    );
}

#[test]
fn the_notice_that_an_opener_was_taken_carries_the_load() {
    let mut agent = loaded_agent();
    let actions = open(&mut agent, UNKNOWN_LOAD_PERMILLE);
    let holds = actions.iter().find_map(|action| match action {
        Action::ToPeer(_, message, payload) if message.kind == MessageKind::Holds => {
            decode_steady_load(payload)
        }
        _ => None,
    });
    assert!(holds.is_some_and(|permille| permille > 500), "{holds:?}");
}
