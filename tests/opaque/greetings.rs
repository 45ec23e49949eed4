//! Which balancers an agent greets, so that one that starts without the platform finds a
//! configuration.

use std::net::Ipv4Addr;

use endivedyke::opaque::{Action, Message, MessageKind};

use crate::builder::{Agents, BALANCER, flow, host, opener, receivers};

fn balancer(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 9, 1, index)
}

/// Delivers a packet from a balancer to every agent.
fn deliver_to_all(agents: &mut Agents, from: Ipv4Addr, now_ms: u64) {
    let mut message = Message::new(MessageKind::Deliver);
    message.host = from;
    for index in 1..=agents.count() {
        let packet = opener(&flow(index), 0);
        let result = agents.with_agent(host(index), now_ms, |agent, context| {
            agent.handle_peer_message(context, from, &message, &packet)
        });
        result.expect("sound packet");
    }
}

/// Returns the hosts that each agent greets, on a site without seeds.
fn greeted(agents: &mut Agents, now_ms: u64) -> Vec<Vec<Ipv4Addr>> {
    greeted_with(agents, &[], now_ms)
}

/// Returns the hosts that each agent greets.
fn greeted_with(agents: &mut Agents, seeds: &[Ipv4Addr], now_ms: u64) -> Vec<Vec<Ipv4Addr>> {
    let hosts = (1..=agents.count()).map(host);
    let actions: Vec<Vec<Action>> = hosts
        .map(|at| agents.with_agent(at, now_ms, |agent, context| agent.greet(context, seeds)))
        .collect();
    let greeted = actions.iter();
    greeted
        .map(|actions| receivers(actions, MessageKind::Greeting))
        .collect()
}

#[test]
fn a_balancer_is_greeted_once_quiet_until_it_expires() {
    for (after_ms, greeters) in [(0, 0), (249, 0), (250, 3), (59_999, 3), (60_000, 0)] {
        let mut agents = Agents::new(5);
        deliver_to_all(&mut agents, BALANCER, 1_000);
        let greeted = greeted(&mut agents, 1_000 + after_ms);
        let greeting = greeted.iter().filter(|hosts| **hosts == [BALANCER]);
        assert_eq!(greeting.count(), greeters, "after {after_ms} ms");
    }
}

#[test]
fn at_most_three_agents_greet_each_balancer() {
    for count in [2, 7, 250] {
        let mut agents = Agents::new(count);
        for index in 1..=20 {
            deliver_to_all(&mut agents, balancer(index), 1_000);
        }
        let greetings: usize = greeted(&mut agents, 2_000).iter().map(Vec::len).sum();
        assert_eq!(greetings, 20 * usize::from(count.min(3)), "{count} agents");
    }
}

#[test]
fn the_32_balancers_with_the_latest_messages_are_remembered() {
    let mut agents = Agents::new(1);
    for index in 1..=40 {
        deliver_to_all(&mut agents, balancer(index), 1_000 + u64::from(index));
    }
    let greeted = greeted(&mut agents, 2_000).remove(0);
    assert_eq!(greeted, (9..=40).map(balancer).collect::<Vec<_>>());
}

#[test]
fn three_agents_greet_a_seed_without_messages_from_it_at_any_site_size() {
    let seed = balancer(1);
    for count in [30, 300, 1_000, 6_000] {
        let mut agents = Agents::new(count);
        let greeted = greeted_with(&mut agents, &[seed], 2_000);
        let greeters = greeted.iter().filter(|hosts| **hosts == [seed]);
        assert_eq!(greeters.count(), 3, "{count} agents");
    }
}

#[test]
fn a_seed_that_sends_messages_is_not_greeted() {
    let mut agents = Agents::new(5);
    deliver_to_all(&mut agents, BALANCER, 1_000);
    let greeted = greeted_with(&mut agents, &[BALANCER], 1_100);
    assert!(greeted.iter().all(Vec::is_empty), "{greeted:?}");
}
