//! Whom an agent greets, so that a balancer which starts without the platform finds a configuration.

use std::net::Ipv4Addr;

use endivedyke::opaque::{Action, Message, MessageKind};

use crate::builder::{Agents, BALANCER, flow, host, hosts_told, opener};

fn balancer(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 9, 1, index)
}

/// Lets every agent hear a packet of a balancer.
fn deliver_to_all(agents: &mut Agents, from: Ipv4Addr, now_ms: u64) {
    let mut message = Message::new(MessageKind::Deliver);
    message.host = from;
    for index in 1..=agents.count() {
        let packet = opener(&flow(index), 0);
        let heard = agents.with(host(index), now_ms, |agent, context| {
            agent.handle_peer_message(context, from, &message, &packet)
        });
        heard.expect("sound packet");
    }
}

/// Returns whom each agent greets now, on a site without seeds.
fn greeted(agents: &mut Agents, now_ms: u64) -> Vec<Vec<Ipv4Addr>> {
    greeted_with(agents, &[], now_ms)
}

/// Returns whom each agent greets now.
fn greeted_with(agents: &mut Agents, seeds: &[Ipv4Addr], now_ms: u64) -> Vec<Vec<Ipv4Addr>> {
    let hosts = (1..=agents.count()).map(host);
    let actions: Vec<Vec<Action>> = hosts
        .map(|at| agents.with(at, now_ms, |agent, context| agent.greet(context, seeds)))
        .collect();
    let greeted = actions.iter();
    greeted
        .map(|actions| hosts_told(actions, MessageKind::Greeting))
        .collect()
}

#[test]
fn a_balancer_is_greeted_while_it_is_quiet_and_not_forgotten() {
    for (after_ms, greeters) in [(0, 0), (249, 0), (250, 3), (59_999, 3), (60_000, 0)] {
        let mut agents = Agents::new(5);
        deliver_to_all(&mut agents, BALANCER, 1_000);
        let greeted = greeted(&mut agents, 1_000 + after_ms);
        let greeting = greeted.iter().filter(|hosts| **hosts == [BALANCER]);
        assert_eq!(greeting.count(), greeters, "after {after_ms} ms");
    }
}

#[test]
fn three_agents_greet_a_balancer_however_many_there_are() {
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
fn of_many_balancers_those_heard_last_are_remembered() {
    let mut agents = Agents::new(1);
    for index in 1..=40 {
        deliver_to_all(&mut agents, balancer(index), 1_000 + u64::from(index));
    }
    let greeted = greeted(&mut agents, 2_000).remove(0);
    assert_eq!(greeted, (9..=40).map(balancer).collect::<Vec<_>>());
}

#[test]
fn a_seed_is_greeted_by_three_agents_that_never_heard_it_at_any_size() {
    let seed = balancer(1);
    for count in [30, 300, 1_000, 6_000] {
        let mut agents = Agents::new(count);
        let greeted = greeted_with(&mut agents, &[seed], 2_000);
        let greeters = greeted.iter().filter(|hosts| **hosts == [seed]);
        assert_eq!(greeters.count(), 3, "{count} agents");
    }
}

#[test]
fn a_seed_that_speaks_is_not_greeted() {
    let mut agents = Agents::new(5);
    deliver_to_all(&mut agents, BALANCER, 1_000);
    let greeted = greeted_with(&mut agents, &[BALANCER], 1_100);
    assert!(greeted.iter().all(Vec::is_empty), "{greeted:?}");
}
