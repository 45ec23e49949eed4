//! Routes of different objectives that lead to one service: none keeps what another one's callers ask for waiting.

use std::net::SocketAddrV4;

use endivedyke::opaque::{FlowKey, MessageKind, ROUTES_HEADER, RouteTable, parse_deadlines};

use crate::builder::{
    ACK, AgentUnderTest, CALLED, PacketSpec, SERVICE, flow, from_backend, hosts_told, opener,
    reaches_backend, refusal,
};
use crate::waiting::{answer, handed, next_request_on};

/// An address that leads to the same service.
const OTHER: &str = "192.0.2.2:443";
/// How many requests fill the backend server by the objective of the first address.
const FULL: u16 = 16;
/// The objective of the other address, by which three times as many would.
const LONGER: &str = "192.0.2.2:443,1000,1500\n";
/// No deadline of the other address is told: its callers have time for a second attempt.
const UNTOLD: &str = "";

fn agent(other: &str, other_priority: u8) -> AgentUnderTest {
    let mut agent = AgentUnderTest::new(3, true);
    let routes = format!(
        "{ROUTES_HEADER}\n{CALLED},{SERVICE},1,2,yes\n{OTHER},{SERVICE},1,{other_priority},yes\n"
    );
    let routes = RouteTable::parse(&routes).expect("sound");
    agent.directory.set_routes(routes);
    let told = parse_deadlines(&format!("{CALLED},300,1500\n{other}")).expect("sound");
    agent.directory.set_deadlines(told);
    agent
}

/// Returns an agent with an opener of the first address that waits, on port 100.
fn agent_with_one_waiting(other: &str) -> AgentUnderTest {
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
fn an_opener_of_a_longer_objective_does_not_pass_what_waits() {
    let mut agent = agent_with_one_waiting(LONGER);
    let actions = agent.deliver(&opener(&other_flow(101), 0));
    assert!(!reaches_backend(&actions));
    assert_eq!(
        hosts_told(&actions, MessageKind::Holds).len(),
        1,
        "it waits"
    );
}

#[test]
fn a_request_of_another_objective_or_of_none_waits_behind_what_waits() {
    for other in [LONGER, UNTOLD] {
        let mut agent = agent_with_one_waiting(other);
        agent.answer_from_backend(&other_flow(200));
        let actions = agent.deliver(&other_request(200));
        assert!(!reaches_backend(&actions), "{other:?}");
        let mut handed_over = Vec::new();
        for port in 1..=FULL {
            agent.now_ms += 5;
            let actions = answer(&mut agent, port);
            handed_over.extend(handed(&actions).into_iter().map(<[u8]>::to_vec));
        }
        let expected = [opener(&flow(100), 0), other_request(200)];
        assert_eq!(handed_over, expected, "{other:?}: once and by its turn");
    }
}

#[test]
fn a_request_without_a_deadline_waits_no_longer_than_its_callers_do_for_an_opener() {
    let mut agent = agent_with_one_waiting(UNTOLD);
    agent.answer_from_backend(&other_flow(200));
    assert!(!reaches_backend(&agent.deliver(&other_request(200))));
    let until_ms = agent.now_ms + 1_400;
    let mut handed_ms = Vec::new();
    for port in 1..=FULL {
        // Others keep coming that are due before it, and the server answers too slowly for all of them.
        agent.now_ms += 90;
        let answered = answer(&mut agent, port);
        let came = agent.deliver(&opener(&flow(300 + port), 0));
        for actions in [answered, came] {
            let mut handed = handed(&actions).into_iter();
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
fn an_opener_without_a_deadline_passes_only_what_is_less_urgent() {
    for (priority, passes) in [(2, false), (1, true)] {
        let mut agent = agent(UNTOLD, priority);
        for port in 1..=6 {
            agent.open(&flow(port), 500);
        }
        let spec = PacketSpec {
            flags: ACK,
            sequence: 501,
            acknowledgement: 141,
            data_bytes: 60,
        };
        agent.backend(refusal(from_backend(&flow(1), spec)));
        agent.deliver(&opener(&flow(99), 0));
        let waits = agent.deliver(&opener(&flow(100), 0));
        assert!(!reaches_backend(&waits), "the server refused one lately");
        let actions = agent.deliver(&opener(&other_flow(101), 0));
        assert_eq!(reaches_backend(&actions), passes, "priority {priority}");
    }
}
