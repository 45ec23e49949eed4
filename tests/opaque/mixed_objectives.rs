//! Routes with different latency objectives to one service: none lets its callers overtake the
//! queue of another one.

use std::net::SocketAddrV4;

use endivedyke::opaque::{FlowKey, MessageKind, ROUTES_HEADER, RouteTable, parse_deadlines};

use crate::builder::{
    ACK, AgentUnderTest, CALLED, PacketSpec, SERVICE, flow, from_backend, opener, reaches_backend,
    receivers, refusal,
};
use crate::waiting::{answer, next_request_on, packets_to_backend};

/// Another address that is routed to the same service.
const OTHER: &str = "192.0.2.2:443";
/// The number of requests that fill the backend server under the objective of the first address.
const FULL: u16 = 16;
/// A deadline with a longer objective for the other address, under which about three times as many
/// requests fill the backend server.
const LONGER_DEADLINE: &str = "192.0.2.2:443,1000,1500\n";
/// No deadline of the other address, as its callers have time for a second attempt.
const NO_DEADLINE: &str = "";

fn agent(other: &str, other_priority: u8) -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, true);
    let routes = format!(
        "{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,yes\n{OTHER},{SERVICE},1,{other_priority},yes\n"
    );
    let routes = RouteTable::parse(&routes).expect("sound");
    agent.directory.set_routes(routes);
    let published = parse_deadlines(&format!("{CALLED},300,1500\n{other}")).expect("sound");
    agent.directory.set_deadlines(published);
    agent
}

/// Returns an agent with a queued opener of the first address, from port 100.
fn agent_with_queued_opener(other: &str) -> AgentUnderTest {
    let mut agent = agent(other, 2);
    for port in 1..=FULL {
        agent.open(&flow(port), 500);
    }
    assert!(!reaches_backend(&agent.deliver(&opener(&flow(100), 0))));
    agent
}

fn other_flow(port: u16) -> FlowKey {
    let called: SocketAddrV4 = OTHER.parse().expect("address");
    FlowKey {
        called,
        ..flow(port)
    }
}

/// Returns a request on an open flow of the other address.
fn other_request(port: u16) -> Vec<u8> {
    next_request_on(&other_flow(port))
}

#[test]
fn an_opener_with_a_longer_objective_does_not_overtake_the_queue() {
    let mut agent = agent_with_queued_opener(LONGER_DEADLINE);
    let actions = agent.deliver(&opener(&other_flow(101), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(
        receivers(&actions, MessageKind::Holds).len(),
        1,
        "it is queued"
    );
}

#[test]
fn a_request_with_a_longer_objective_or_none_is_queued_behind_the_others() {
    for other in [LONGER_DEADLINE, NO_DEADLINE] {
        let mut agent = agent_with_queued_opener(other);
        agent.acknowledge_from_backend(&other_flow(200));
        let actions = agent.deliver(&other_request(200));
        assert!(!reaches_backend(&actions), "{other:?}");
        let mut handed_over = Vec::new();
        for port in 1..=FULL {
            agent.now_ms += 5;
            let actions = answer(&mut agent, port);
            handed_over.extend(packets_to_backend(&actions).into_iter().map(<[u8]>::to_vec));
        }
        let expected = [opener(&flow(100), 0), other_request(200)];
        assert_eq!(handed_over, expected, "{other:?}: once and in order");
    }
}

#[test]
fn a_request_without_a_deadline_waits_at_most_as_long_as_an_unanswered_attempt() {
    let mut agent = agent_with_queued_opener(NO_DEADLINE);
    agent.acknowledge_from_backend(&other_flow(200));
    assert!(!reaches_backend(&agent.deliver(&other_request(200))));
    let until_ms = agent.now_ms + 1_400;
    let mut handed_ms = Vec::new();
    for port in 1..=FULL {
        // Openers that are due earlier keep arriving, and the server answers too slowly for all of
        // them.
        agent.now_ms += 90;
        let answered = answer(&mut agent, port);
        let came = agent.deliver(&opener(&flow(300 + port), 0));
        for actions in [answered, came] {
            let mut handed = packets_to_backend(&actions).into_iter();
            if handed.any(|packet| packet == other_request(200)) {
                handed_ms.push(agent.now_ms);
            }
        }
    }
    let [handed_ms] = handed_ms[..] else {
        panic!("handed over at {handed_ms:?}");
    };
    assert!(handed_ms <= until_ms, "{handed_ms}");
}

#[test]
fn an_opener_without_a_deadline_overtakes_only_less_urgent_entries() {
    for (priority, overtakes) in [(2, false), (1, true)] {
        let mut agent = agent(NO_DEADLINE, priority);
        for port in 1..=6 {
            agent.open(&flow(port), 500);
        }
        let spec = PacketSpec {
            flags: ACK,
            sequence: 501,
            acknowledgement: 141,
            data_bytes: 60,
        };
        agent.deliver_from_backend(refusal(from_backend(&flow(1), spec)));
        agent.deliver(&opener(&flow(99), 0));
        let waits = agent.deliver(&opener(&flow(100), 0));
        assert!(
            !reaches_backend(&waits),
            "the server refused a request recently"
        );
        let actions = agent.deliver(&opener(&other_flow(101), 0));
        assert_eq!(reaches_backend(&actions), overtakes, "priority {priority}");
    }
}
